/*
 * Counts the runs of a batch by upstream, so that one log line can summarise
 * them.
 */
#ifndef TRANSPORT_RUN_TALLY_H
#define TRANSPORT_RUN_TALLY_H

#include <glib.h>

/* Starts as zeros.  */
struct run_tally
{
  GArray *rows; /* struct run_tally_row; NULL when empty */
};

/* Counts a run on UPSTREAM that took TOOK_US.  */
void run_tally_add (struct run_tally *tally, const char *upstream,
                    gint64 took_us);

/* "UPSTREAM:COUNT:LONGEST_MS" for each upstream, separated by spaces, or NULL
   if no run was counted.  Free with g_free ().  */
char *run_tally_format (const struct run_tally *tally);

void run_tally_clear (struct run_tally *tally);

#endif

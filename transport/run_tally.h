/*
 * The runs of a batch by upstream, so that one line of the log can tell of all
 * that went as expected.
 */
#ifndef TRANSPORT_RUN_TALLY_H
#define TRANSPORT_RUN_TALLY_H

#include <glib.h>

/* Begins as zeros.  */
struct run_tally
{
  GArray *rows; /* struct run_tally_row; NULL when empty */
};

/* Counts a run on UPSTREAM that took TOOK_US.  */
void run_tally_add (struct run_tally *tally, const char *upstream,
                    gint64 took_us);

/* "UPSTREAM:COUNT:LONGEST_MS" of each upstream, with a space in between; NULL
   when no run was counted.  The caller owns it.  */
char *run_tally_format (const struct run_tally *tally);

void run_tally_clear (struct run_tally *tally);

#endif

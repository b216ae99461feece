/*
 * Records which of the issued tickets have been used, with one bit a ticket.
 *
 * Tickets are issued with rising sequence numbers, and their deadlines never
 * decrease.  So a window of them is enough: its oldest tickets are dropped
 * TICKET_RETENTION_MS after their deadlines.  For a sequence in the window it
 * is certain whether it was used.
 */
#ifndef COORDINATION_TICKET_WINDOW_H
#define COORDINATION_TICKET_WINDOW_H

#include <glib.h>

/* How long the use of a ticket is remembered after its deadline.  */
#define TICKET_RETENTION_MS (5 * 60 * 1000)

enum ticket_state
{
  TICKET_USABLE,    /* never used and before its deadline: may start a job */
  TICKET_EXPIRED,   /* never used and past its deadline: certainly not run */
  TICKET_USED,      /* a job was started under it */
  TICKET_FORGOTTEN, /* dropped: its use is not known any more */
  TICKET_NOT_ISSUED /* its sequence was not issued yet, or is 0 */
};

struct ticket_window;

struct ticket_window *ticket_window_new (void);
void ticket_window_free (struct ticket_window *window);

/*
 * Issues the next sequence, from 1 on.  *DEADLINE_UNIX_MS is the requested
 * deadline.  It is raised to that of the previous sequence if it is earlier.
 */
guint64 ticket_window_issue (struct ticket_window *window,
                             gint64 *deadline_unix_ms);

/* The state of the ticket with SEQUENCE and DEADLINE_UNIX_MS at
   NOW_UNIX_MS.  */
enum ticket_state ticket_window_get_state (const struct ticket_window *window,
                                           guint64 sequence,
                                           gint64 deadline_unix_ms,
                                           gint64 now_unix_ms);

/* Marks SEQUENCE, which must be in the window, as used.  */
void ticket_window_mark_used (struct ticket_window *window, guint64 sequence);

/* Drops tickets that are due to be dropped at NOW_UNIX_MS.  */
void ticket_window_advance (struct ticket_window *window, gint64 now_unix_ms);

/* The memory in use, in bytes.  */
gsize ticket_window_bytes (const struct ticket_window *window);

#endif

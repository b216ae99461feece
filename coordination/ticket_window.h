/*
 * Which of the tickets that were issued have been used: one bit a ticket.
 *
 * Sequences are issued in order, and their deadlines never fall, so what is
 * kept is a window: it is dropped from its old end once the deadlines are well
 * past.  While a sequence is in the window it is certain whether it was used.
 */
#ifndef COORDINATION_TICKET_WINDOW_H
#define COORDINATION_TICKET_WINDOW_H

#include <glib.h>

/* How long use is remembered after a ticket's deadline, in milliseconds.  */
#define TICKET_RETENTION_MS (5 * 60 * 1000)

enum ticket_state
{
  TICKET_USABLE,    /* never used and before its deadline: may start a job */
  TICKET_EXPIRED,   /* never used and past its deadline: certainly not run */
  TICKET_USED,      /* a job was started under it */
  TICKET_FORGOTTEN, /* so old that its use is not known any more */
  TICKET_NOT_ISSUED
};

struct ticket_window;

struct ticket_window *ticket_window_new (void);
void ticket_window_free (struct ticket_window *window);

/*
 * Issues the next sequence, from 1 on.  *DEADLINE_UNIX_MS is the deadline that
 * is wanted; it is raised to that of the sequence before if it is earlier.
 */
guint64 ticket_window_issue (struct ticket_window *window,
                             gint64 *deadline_unix_ms);

/* What is known of a ticket.  */
enum ticket_state ticket_window_get_state (const struct ticket_window *window,
                                           guint64 sequence,
                                           gint64 deadline_unix_ms,
                                           gint64 now_unix_ms);

/* Notes that SEQUENCE is used.  It must be in the window.  */
void ticket_window_mark_used (struct ticket_window *window, guint64 sequence);

/* Drops what is past.  */
void ticket_window_advance (struct ticket_window *window, gint64 now_unix_ms);

/* The memory in use, in bytes.  */
gsize ticket_window_bytes (const struct ticket_window *window);

#endif

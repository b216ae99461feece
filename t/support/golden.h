/*
 * Golden files: whole sessions as text, with what differs between runs
 * replaced.
 */
#ifndef T_SUPPORT_GOLDEN_H
#define T_SUPPORT_GOLDEN_H

#include <glib.h>
#include <libsoup/soup.h>

/* The exchanges of one session, by channel.  */
struct golden;

struct golden *golden_new (void);
void golden_free (struct golden *golden);

/* Adds an exchange of which the order is part of the session.  */
void golden_add_step (struct golden *golden, const char *text);

/*
 * Adds an exchange of CHANNEL.  The exchanges of a channel are sorted, because
 * their order depends on timing.  When IS_COUNTED, one that happens several
 * times is shown with their number; otherwise it is shown once.
 */
void golden_add_exchange (struct golden *golden, const char *channel,
                          const char *text, gboolean is_counted);

/* One message as text: START, the headers that matter, and the body, each line
   after PREFIX.  HEADERS may be NULL, and BODY too.  */
char *golden_format_message (const char *prefix, const char *start,
                             SoupMessageHeaders *headers, const char *body);

/*
 * Compares the session with t/golden/NAME.txt and fails the test with a diff
 * when they differ.  With the environment variable GOLDEN_UPDATE set it writes
 * the file instead.
 */
void golden_check (struct golden *golden, const char *name);

#endif

/*
 * A link that tests can cut: forwards connections to a port of loopback from
 * the main loop of the test.
 *
 * Once silent, connections stay open and carry nothing any more, also after
 * the link is mended; connections that are opened after that work.
 */
#ifndef T_SUPPORT_CUT_LINK_H
#define T_SUPPORT_CUT_LINK_H

#include <glib.h>

struct cut_link;

/* A link to TARGET of 127.0.0.1.  */
struct cut_link *cut_link_new (guint16 target);
void cut_link_free (struct cut_link *link);

/* The port that stands for the target.  */
guint16 cut_link_get_port (const struct cut_link *link);

/* Bytes carried so far, both ways.  */
guint64 cut_link_get_bytes (const struct cut_link *link);

/* Makes all connections silent, new ones too.  */
void cut_link_silence (struct cut_link *link);

/* Lets new connections through.  */
void cut_link_mend (struct cut_link *link);

#endif

/*
 * Messages that earlier builds have made, in t/data/messages: the commit of
 * the build and the kind of message name the file.
 */
#ifndef T_SUPPORT_MESSAGE_H
#define T_SUPPORT_MESSAGE_H

#include <glib.h>

/* The bytes of the message NAME.  A new reference.  */
GBytes *message_read (const char *name);

#endif

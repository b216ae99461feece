/*
 * What tests do to the stand-in of the operators' store, by PORT of 127.0.0.1.
 */
#ifndef T_SUPPORT_STORE_STANDIN_H
#define T_SUPPORT_STORE_STANDIN_H

#include <glib.h>

/* POST of BODY, JSON text or empty; returns the status.  */
guint store_standin_post (guint16 port, const char *path, const char *body);

/* Sets the FAULTS, a JSON object, that are to hold from now on.  */
void store_standin_set_faults (guint16 port, const char *faults);

/* Waits until the store has got a call of that name.  */
void store_standin_wait_called (guint16 port, const char *name);

#endif

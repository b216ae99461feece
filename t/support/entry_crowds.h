/*
 * Crowds of clients that misuse `radishchute entry`, at each address that they
 * reach, with or without TLS.
 */
#ifndef T_SUPPORT_ENTRY_CROWDS_H
#define T_SUPPORT_ENTRY_CROWDS_H

#include <glib.h>

/* Runs the tests, whose names have NAME in them.  */
int entry_crowds_run (const char *name, gboolean has_tls, int argc,
                      char **argv);

#endif

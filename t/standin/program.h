/*
 * What every stand-in does around its work: options, the line that says it is
 * ready, and its end by SIGTERM or by the end of standard input.
 */
#ifndef T_STANDIN_PROGRAM_H
#define T_STANDIN_PROGRAM_H

#include <glib.h>

/*
 * Parses ARGV by ENTRIES and by --exit-on-eof.  Ends the process with status
 * 2 and a message when the arguments are wrong.
 */
void program_parse (int argc, char **argv, const GOptionEntry *entries);

/*
 * Prints the line {"ready":true,"ports":[...]} with the N_PORTS ports, runs
 * the main loop until SIGTERM or the end of standard input, and returns the
 * exit status.
 */
int program_run (const guint16 *ports, gsize n_ports);

/* Ends the process with status 1 and ERROR's message.  */
void program_fail (const GError *error) G_GNUC_NORETURN;

#endif

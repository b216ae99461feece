/*
 * Child processes of integration tests.
 *
 * A child ends with the test, also when the test aborts.  Its standard input
 * is a pipe that is never written to.  Functions that cannot do their work
 * abort the test.
 */
#ifndef T_SUPPORT_PROCESS_H
#define T_SUPPORT_PROCESS_H

#include <gio/gio.h>
#include <sys/types.h>

#define PROCESS_MAX_PORTS 128

struct process
{
  GSubprocess *subprocess;
  pid_t pid;
  guint n_ports;
  guint16 ports[PROCESS_MAX_PORTS]; /* from the line that says it is ready */
};

/*
 * Starts PROGRAM of the build directory, which is named by the environment
 * variable RADISHCHUTE_BUILD or is "build", with the arguments up to NULL.
 * Returns at once.
 */
struct process *process_start (const char *program,
                               ...) G_GNUC_NULL_TERMINATED;

/* The same, with all that it prints in the new file LOG, unless NULL.  */
struct process *process_start_logged (const char *log, const char *program,
                                      ...) G_GNUC_NULL_TERMINATED;

/* The same with an array that ends in NULL.  */
struct process *process_start_array (const char *program,
                                     const char *const *arguments);

/*
 * Reads the child's first line of output, {"ready":true,"ports":[...]}, and
 * keeps the ports.
 */
void process_wait_ready (struct process *process);

/* Starts the stand-in program with these arguments and waits for it.  */
struct process *process_start_standin (const char *subcommand,
                                       ...) G_GNUC_NULL_TERMINATED;

/*
 * Processes that are started from now on find MAX_DESCRIPTORS and MAX_BYTES as
 * the limits of their descriptors (RLIMIT_NOFILE) and of their machine's
 * memory (RLIMIT_RSS, which Linux tells but does not enforce); 0 for those of
 * the test.
 */
void process_set_limits (guint max_descriptors, gsize max_bytes);

/* Sends a signal, as in SIGSTOP, to the child.  */
void process_signal (struct process *process, int signal_number);

/* Whether the child has not ended yet, as far as is known.  */
gboolean process_is_running (struct process *process);

/* Kills the child by SIGKILL and waits for its end.  */
void process_kill (struct process *process);

/* Waits for the child's end; returns its exit status, or -1 for a signal. */
int process_wait_exit (struct process *process);

/* Kills the child if it runs, and frees PROCESS.  */
void process_free (struct process *process);

#endif

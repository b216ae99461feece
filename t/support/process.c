#include "t/support/process.h"

#include <jansson.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/resource.h>

/* The limits of the processes to start; 0 for those of this process.  */
static rlim_t limit_descriptors;
static rlim_t limit_bytes;

static void
set_limit (int resource, rlim_t value)
{
  struct rlimit limit = { value, value };

  if (value != 0)
    setrlimit (resource, &limit);
}

static void
prepare_child (gpointer data)
{
  prctl (PR_SET_PDEATHSIG, SIGKILL);
  set_limit (RLIMIT_NOFILE, limit_descriptors);
  set_limit (RLIMIT_RSS, limit_bytes);
}

void
process_set_limits (guint max_descriptors, gsize max_bytes)
{
  limit_descriptors = max_descriptors;
  limit_bytes = max_bytes;
}

static struct process *
start (GPtrArray *arguments, const char *log)
{
  struct process *process = g_new0 (struct process, 1);
  g_autoptr (GError) error = NULL;
  g_autoptr (GSubprocessLauncher) launcher = g_subprocess_launcher_new (
      G_SUBPROCESS_FLAGS_STDIN_PIPE | G_SUBPROCESS_FLAGS_STDOUT_PIPE);

  g_subprocess_launcher_set_child_setup (launcher, prepare_child, NULL, NULL);
  if (log != NULL)
    {
      g_subprocess_launcher_set_flags (launcher,
                                       G_SUBPROCESS_FLAGS_STDIN_PIPE
                                           | G_SUBPROCESS_FLAGS_STDERR_MERGE);
      g_subprocess_launcher_set_stdout_file_path (launcher, log);
    }
  g_ptr_array_add (arguments, NULL);
  process->subprocess = g_subprocess_launcher_spawnv (
      launcher, (const char *const *)arguments->pdata, &error);
  g_assert_no_error (error);
  process->pid = (pid_t)g_ascii_strtoll (
      g_subprocess_get_identifier (process->subprocess), NULL, 10);
  return process;
}

static char *
program_path (const char *program)
{
  const char *build = g_getenv ("RADISHCHUTE_BUILD");

  return g_build_filename (build == NULL ? "build" : build, program, NULL);
}

static GPtrArray *
new_arguments (const char *program)
{
  GPtrArray *arguments = g_ptr_array_new_with_free_func (g_free);

  g_ptr_array_add (arguments, program_path (program));
  return arguments;
}

static void
add_arguments (GPtrArray *arguments, va_list list)
{
  const char *argument;

  while ((argument = va_arg (list, const char *)) != NULL)
    g_ptr_array_add (arguments, g_strdup (argument));
}

struct process *
process_start (const char *program, ...)
{
  g_autoptr (GPtrArray) arguments = new_arguments (program);
  va_list list;

  va_start (list, program);
  add_arguments (arguments, list);
  va_end (list);
  return start (arguments, NULL);
}

struct process *
process_start_logged (const char *log, const char *program, ...)
{
  g_autoptr (GPtrArray) arguments = new_arguments (program);
  va_list list;

  va_start (list, program);
  add_arguments (arguments, list);
  va_end (list);
  return start (arguments, log);
}

struct process *
process_start_array (const char *program, const char *const *arguments)
{
  g_autoptr (GPtrArray) all = new_arguments (program);

  for (; *arguments != NULL; arguments++)
    g_ptr_array_add (all, g_strdup (*arguments));
  return start (all, NULL);
}

struct process *
process_start_standin (const char *subcommand, ...)
{
  g_autoptr (GPtrArray) arguments = new_arguments ("standin");
  struct process *process;
  va_list list;

  g_ptr_array_add (arguments, g_strdup (subcommand));
  va_start (list, subcommand);
  add_arguments (arguments, list);
  va_end (list);
  g_ptr_array_add (arguments, g_strdup ("--exit-on-eof"));
  process = start (arguments, NULL);
  process_wait_ready (process);
  return process;
}

void
process_wait_ready (struct process *process)
{
  g_autoptr (GError) error = NULL;
  g_autoptr (GDataInputStream) output = g_data_input_stream_new (
      g_subprocess_get_stdout_pipe (process->subprocess));
  g_autofree char *line = NULL;
  json_t *ready;
  json_t *ports;

  g_filter_input_stream_set_close_base_stream (G_FILTER_INPUT_STREAM (output),
                                               FALSE);
  line = g_data_input_stream_read_line (output, NULL, NULL, &error);
  g_assert_no_error (error);
  g_assert_nonnull (line);
  ready = json_loads (line, 0, NULL);
  ports = json_object_get (ready, "ports");
  g_assert_true (json_is_array (ports));
  process->n_ports = (guint)json_array_size (ports);
  g_assert_cmpuint (process->n_ports, <=, PROCESS_MAX_PORTS);
  for (guint i = 0; i < process->n_ports; i++)
    process->ports[i]
        = (guint16)json_integer_value (json_array_get (ports, i));
  json_decref (ready);
}

void
process_signal (struct process *process, int signal_number)
{
  g_subprocess_send_signal (process->subprocess, signal_number);
}

gboolean
process_is_running (struct process *process)
{
  return g_subprocess_get_identifier (process->subprocess) != NULL;
}

int
process_wait_exit (struct process *process)
{
  g_autoptr (GError) error = NULL;

  g_subprocess_wait (process->subprocess, NULL, &error);
  g_assert_no_error (error);
  if (!g_subprocess_get_if_exited (process->subprocess))
    return -1;
  return g_subprocess_get_exit_status (process->subprocess);
}

void
process_kill (struct process *process)
{
  process_signal (process, SIGKILL);
  process_wait_exit (process);
}

void
process_free (struct process *process)
{
  process_kill (process);
  g_object_unref (process->subprocess);
  g_free (process);
}

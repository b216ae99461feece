#define _GNU_SOURCE
#include "rig.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <glib/gstdio.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define HOST "jobs.example"
#define SERVICE "staerdarvisir"
#define N_PORTS 5 /* of a VM: callers, readiness, peers, beacons, metrics */

static struct
{
  struct rig_plan plan;
  FILE *record;
  char *folder; /* temporary */
  gint64 start_us;
  int base;
  int store_port;
  pid_t store;
  pid_t workers[RIG_MAX_VMS];
  int control_ports[RIG_MAX_VMS];
  pid_t vms[RIG_MAX_VMS];
  gboolean is_quiet;
} rig;

gboolean
rig_is_calm (void)
{
  return g_strcmp0 (getenv ("TROUBLE"), "0") == 0;
}

double
rig_now_ms (void)
{
  return (double)(g_get_monotonic_time () - rig.start_us) / 1000;
}

void
rig_set_quiet (gboolean is_quiet)
{
  rig.is_quiet = is_quiet;
}

gint64
rig_boot_ms (void)
{
  struct timespec now;

  clock_gettime (CLOCK_BOOTTIME, &now);
  return (gint64)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

void
rig_sleep_until (double ms)
{
  while (rig_now_ms () < ms)
    g_usleep ((gulong)(MAX (ms - rig_now_ms (), 0.05) * 1000));
}

void
rig_sleep (double ms)
{
  rig_sleep_until (rig_now_ms () + ms);
}

static void
note (const char *format, va_list list)
{
  g_autofree char *text = NULL;

  if (rig.is_quiet)
    return;
  text = g_strdup_vprintf (format, list);
  fprintf (rig.record, "%9.1f ms  %s\n", rig_now_ms (), text);
  fflush (rig.record);
}

void
rig_note (const char *format, ...)
{
  va_list list;

  va_start (list, format);
  note (format, list);
  va_end (list);
}

static void
end_process (pid_t pid)
{
  if (pid <= 0)
    return;
  kill (pid, SIGKILL);
  waitpid (pid, NULL, 0);
}

static void
remove_folder (void)
{
  GDir *dir = rig.folder != NULL ? g_dir_open (rig.folder, 0, NULL) : NULL;
  const char *name;

  while (dir != NULL && (name = g_dir_read_name (dir)) != NULL)
    {
      g_autofree char *path = g_build_filename (rig.folder, name, NULL);

      g_unlink (path);
    }
  if (dir != NULL)
    g_dir_close (dir);
  if (rig.folder != NULL)
    g_rmdir (rig.folder);
}

static void
end_all (void)
{
  for (int i = 0; i < RIG_MAX_VMS; i++)
    {
      end_process (rig.vms[i]);
      end_process (rig.workers[i]);
    }
  end_process (rig.store);
  remove_folder ();
}

void
rig_give_up (const char *format, ...)
{
  va_list list;

  va_start (list, format);
  if (rig.record != NULL)
    note (format, list);
  va_end (list);
  if (rig.record != NULL)
    rig_note ("RESULT: the case could not run");
  end_all ();
  exit (2);
}

void
rig_end (gboolean is_broken, const char *format, ...)
{
  va_list list;
  g_autofree char *text = NULL;

  va_start (list, format);
  text = g_strdup_vprintf (format, list);
  va_end (list);
  rig_note ("RESULT: %s: %s", is_broken ? "broken" : "held", text);
  printf ("%s: %s\n", is_broken ? "broken" : "held", text);
  end_all ();
  exit (is_broken ? 1 : 0);
}

/* Starts ARGUMENTS with its output to LOG, or to a pipe whose end is written
   to *OUTPUT.  */
static pid_t
spawn (char *const *arguments, const char *log, int *output)
{
  int pipe_fds[2];
  pid_t parent = getpid ();
  pid_t pid;

  if (pipe2 (pipe_fds, O_CLOEXEC) != 0)
    rig_give_up ("no pipe: %s", strerror (errno));
  pid = fork ();
  if (pid == 0)
    {
      int null = open ("/dev/null", O_RDWR);
      int out = log != NULL ? open (log, O_WRONLY | O_CREAT | O_APPEND, 0600)
                            : pipe_fds[1];

      prctl (PR_SET_PDEATHSIG, SIGKILL);
      if (getppid () != parent)
        _exit (127);
      dup2 (null, 0);
      dup2 (out, 1);
      dup2 (log != NULL ? out : null, 2);
      execv (arguments[0], arguments);
      _exit (127);
    }
  close (pipe_fds[1]);
  if (output != NULL)
    *output = pipe_fds[0];
  else
    close (pipe_fds[0]);
  if (pid < 0)
    rig_give_up ("no process: %s", strerror (errno));
  return pid;
}

/* Starts a stand-in and reads its ports.  */
static pid_t
start_standin (char *const *arguments, int *ports, int n_ports)
{
  int fd;
  pid_t pid = spawn (arguments, NULL, &fd);
  char line[4096];
  gsize n = 0;
  json_t *root;
  json_t *list;

  while (n < sizeof line - 1)
    {
      gssize got = read (fd, line + n, 1);

      if (got <= 0)
        rig_give_up ("%s %s does not start", arguments[0], arguments[1]);
      if (line[n++] == '\n')
        break;
    }
  line[n] = '\0';
  root = json_loads (line, 0, NULL);
  list = json_object_get (root, "ports");
  if ((int)json_array_size (list) < n_ports)
    rig_give_up ("%s does not name its ports", arguments[1]);
  for (int i = 0; i < n_ports; i++)
    ports[i] = (int)json_integer_value (json_array_get (list, (gsize)i));
  json_decref (root);
  return pid;
}

static gboolean
is_free (const char *ip, int port, int type)
{
  struct sockaddr_in address = { .sin_family = AF_INET,
                                 .sin_port = htons ((guint16)port),
                                 .sin_addr.s_addr = inet_addr (ip) };
  int fd = socket (AF_INET, type | SOCK_CLOEXEC, 0);
  gboolean ok = bind (fd, (struct sockaddr *)&address, sizeof address) == 0;

  close (fd);
  return ok;
}

static void
format_ip (int vm, char ip[32])
{
  g_snprintf (ip, 32, "127.0.0.%d", vm + 1);
}

static void
choose_ports (void)
{
  for (int try = 0; try < 200; try++)
    {
      gboolean ok = TRUE;

      rig.base = g_random_int_range (2000, 3100) * 10;
      for (int vm = 0; vm < rig.plan.n_vms; vm++)
        for (int i = 0; i < N_PORTS; i++)
          {
            char ip[32];

            format_ip (vm, ip);
            ok = ok && is_free (ip, rig.base + i, SOCK_STREAM)
                 && is_free (ip, rig.base + i, SOCK_DGRAM);
          }
      if (ok)
        return;
    }
  rig_give_up ("no free ports");
}

/* Sends all of TEXT.  */
static gboolean
send_all (int fd, const char *text, gsize length)
{
  while (length > 0)
    {
      gssize n = send (fd, text, length, MSG_NOSIGNAL);

      if (n <= 0)
        return FALSE;
      text += n;
      length -= (gsize)n;
    }
  return TRUE;
}

static int
connect_to (const char *ip, int port)
{
  struct sockaddr_in address = { .sin_family = AF_INET,
                                 .sin_port = htons ((guint16)port),
                                 .sin_addr.s_addr = inet_addr (ip) };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int one = 1;

  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  if (connect (fd, (struct sockaddr *)&address, sizeof address) == 0)
    return fd;
  close (fd);
  return -1;
}

/* The status in INPUT if it is a whole answer, else 0.  *BODY points into
   it.  */
static int
parse_answer (const GString *input, const char **body)
{
  const char *end = strstr (input->str, "\r\n\r\n");
  const char *length;
  int status;

  if (end == NULL || sscanf (input->str, "HTTP/1.%*d %d", &status) != 1)
    return 0;
  length = strcasestr (input->str, "\r\nContent-Length:");
  *body = end + 4;
  if (length != NULL && length < end
      && input->len < (gsize)(*body - input->str)
                          + strtoul (length + 17, NULL, 10))
    return 0;
  return status;
}

static int
request (const char *ip, int port, const char *head, const char *text,
         int timeout_ms, char **body)
{
  int fd = connect_to (ip, port);
  g_autoptr (GString) input = g_string_new (NULL);
  g_autofree char *all = g_strdup_printf (
      "%sContent-Length: %zu\r\n\r\n%s", head, strlen (text), text);
  double end_ms = rig_now_ms () + timeout_ms;
  const char *found = NULL;
  int status = 0;

  if (fd < 0)
    return 0;
  send_all (fd, all, strlen (all));
  while (status == 0 && rig_now_ms () < end_ms)
    {
      struct pollfd watch = { fd, POLLIN, 0 };
      char bytes[65536];
      gssize n;

      if (poll (&watch, 1, (int)(end_ms - rig_now_ms ()) + 1) <= 0)
        continue;
      n = recv (fd, bytes, sizeof bytes, 0);
      if (n <= 0)
        break;
      g_string_append_len (input, bytes, n);
      status = parse_answer (input, &found);
    }
  close (fd);
  if (body != NULL)
    *body = g_strdup (status != 0 ? found : "");
  return status;
}

static void
post (int port, const char *path, const char *text)
{
  g_autofree char *head
      = g_strdup_printf ("POST %s HTTP/1.1\r\nHost: 127.0.0.1\r\n", path);

  if (request ("127.0.0.1", port, head, text, 5000, NULL) != 200)
    rig_give_up ("a stand-in does not take %s", path);
}

static void
start_store (void)
{
  char *const arguments[] = { (char *)"target/standin", (char *)"store", NULL };

  rig.store = start_standin (arguments, &rig.store_port, 1);
}

static void
start_workers (int zone)
{
  g_autofree char *count = g_strdup_printf ("%d", rig.plan.n_workers);
  g_autofree char *store = g_strdup_printf ("%d", rig.store_port);
  g_autofree char *name = g_strdup_printf ("w%d", zone);
  g_autofree char *zone_name = g_strdup_printf ("zone-%d", zone);
  g_autofree char *cpu = g_strdup_printf ("%d", rig.plan.cpu);
  g_autofree char *memory = g_strdup_printf ("%d", rig.plan.memory_mb);
  char *const arguments[]
      = { (char *)"target/standin", (char *)"worker",
          (char *)"--count",        count,
          (char *)"--store",        store,
          (char *)"--name",         name,
          (char *)"--service",      (char *)SERVICE,
          (char *)"--zone",         zone_name,
          (char *)"--cpu",          cpu,
          (char *)"--memory-mb",    memory,
          NULL };
  int ports[RIG_MAX_WORKERS + 1];

  rig.workers[zone] = start_standin (arguments, ports, rig.plan.n_workers + 1);
  rig.control_ports[zone] = ports[rig.plan.n_workers];
}

static void
put_state (void)
{
  g_autoptr (GString) text = g_string_new ("{\"version\":1,\"routes\":[");

  for (const struct rig_route *r = rig.plan.routes; r->name != NULL; r++)
    g_string_append_printf (
        text,
        "%s{\"name\":\"%s\",\"host\":\"" HOST "\",\"prefix\":\"/%s/\","
        "\"service\":\"" SERVICE "\",\"attempts\":4,\"goalMs\":%d,"
        "\"stretch\":2,\"prio\":%d}",
        r == rig.plan.routes ? "" : ",", r->name, r->name, rig.plan.goal_ms,
        r->prio);
  g_string_append (text, "],\"services\":[{\"name\":\"" SERVICE "\"}]}");
  post (rig.store_port, "/standin/put?topic=keyed.op&key=config", text->str);
}

/* The settings that deploy/fleet.json.in makes of those of the first sites. */
static void
write_settings (int vm, const char *path)
{
  char ip[32];
  g_autoptr (GString) zones = g_string_new (NULL);
  g_autofree char *text = NULL;

  format_ip (vm, ip);
  for (int i = 0; i < rig.plan.n_vms; i++)
    g_string_append_printf (zones, "%s\"zone-%d\"", i > 0 ? "," : "", i);
  text = g_strdup_printf (
      "{\"vm\":\"vm-%d\",\"availability_zone\":\"zone-%d\",\"ip\":\"%s\","
      "\"availability_zones\":[%s],\"callers\":\"%s:%d\","
      "\"readiness\":\"%s:%d\",\"peers\":\"%s:%d\",\"beacon_port\":%d,"
      "\"metrics\":\"%s:%d\",\"store\":\"127.0.0.1:%d\",\"shards\":16,"
      "\"member_ttl_ms\":1000,\"max_lease_ms\":1000,\"grace_s\":6,"
      "\"share_by_caller\":true,\"spread_retries\":true,"
      "\"caller_retry_ms\":1300,\"far_factor\":1.5,\"cpu_share\":0.25,"
      "\"cpu_cores\":1,\"share_by_capacity\":true,\"max_waiting_jobs\":1000,"
      "\"max_waiting_kb\":8192,\"placement_by_speed\":true,"
      "\"log_level\":\"info\"}",
      vm, vm, ip, zones->str, ip, rig.base, ip, rig.base + 1, ip,
      rig.base + 2, rig.base + 3, ip, rig.base + 4, rig.store_port);
  if (!g_file_set_contents (path, text, -1, NULL))
    rig_give_up ("the settings can't be written");
}

void
rig_start_vm (int vm)
{
  g_autofree char *settings
      = g_strdup_printf ("%s/vm-%d.json", rig.folder, vm);
  g_autofree char *log = g_strdup_printf ("%s/vm-%d.log", rig.folder, vm);
  char *const arguments[]
      = { (char *)"target/radishchute", (char *)"fleet",
          (char *)"--settings", settings, NULL };

  write_settings (vm, settings);
  rig.vms[vm] = spawn (arguments, log, NULL);
  rig_note ("vm-%d is started", vm);
}

int
rig_get_ready_status (int vm)
{
  char ip[32];

  format_ip (vm, ip);
  return request (ip, rig.base + 1,
                  "GET /radishchute/readyz HTTP/1.1\r\nHost: a\r\n", "", 500,
                  NULL);
}

void
rig_wait_ready (int vm)
{
  double end_ms = rig_now_ms () + 15000;

  while (rig_now_ms () < end_ms)
    {
      if (rig_get_ready_status (vm) == 200)
        {
          rig_note ("vm-%d is ready", vm);
          return;
        }
      rig_sleep (5);
    }
  rig_give_up ("vm-%d does not become ready", vm);
}

void
rig_signal_vm (int vm, int signal_number)
{
  if (rig.vms[vm] > 0)
    kill (rig.vms[vm], signal_number);
  rig_note ("vm-%d gets signal %d (%s)", vm, signal_number,
            strsignal (signal_number));
}

void
rig_kill_vm (int vm)
{
  rig_note ("vm-%d is killed", vm);
  end_process (rig.vms[vm]);
  rig.vms[vm] = 0;
}

gboolean
rig_has_ended (int vm, int *signal_number)
{
  int status;

  if (rig.vms[vm] <= 0 || waitpid (rig.vms[vm], &status, WNOHANG) <= 0)
    return FALSE;
  rig.vms[vm] = 0;
  *signal_number = WIFSIGNALED (status) ? WTERMSIG (status) : 0;
  rig_note ("vm-%d has ended by itself: %s %d", vm,
            WIFSIGNALED (status) ? "signal" : "exit status",
            WIFSIGNALED (status) ? WTERMSIG (status) : WEXITSTATUS (status));
  return TRUE;
}

void
rig_start (const struct rig_plan *plan, const char *folder)
{
  g_autofree char *path = g_build_filename (folder, "record.txt", NULL);

  rig.plan = *plan;
  rig.start_us = g_get_monotonic_time ();
  rig.record = fopen (path, "we");
  if (rig.record == NULL)
    exit (2);
  rig.folder = g_dir_make_tmp ("review-XXXXXX", NULL);
  if (rig.folder == NULL)
    rig_give_up ("no temporary folder");
  rig_note ("TROUBLE=%d", rig_is_calm () ? 0 : 1);
  choose_ports ();
  start_store ();
  put_state ();
  for (int i = 0; i < plan->n_vms; i++)
    start_workers (i);
  for (int i = 0; i < plan->n_vms; i++)
    rig_start_vm (i);
  for (int i = 0; i < plan->n_vms; i++)
    rig_wait_ready (i);
  rig_sleep (1000);
}

static char *
build_head (const char *method, const char *path, int deadline_ms)
{
  g_autofree char *deadline
      = deadline_ms > 0
            ? g_strdup_printf ("Radishchute-Deadline-Ms: %d\r\n", deadline_ms)
            : g_strdup ("");

  return g_strdup_printf ("%s %s HTTP/1.1\r\nHost: " HOST "\r\n%s", method,
                          path, deadline);
}

int
rig_request (int vm, const char *method, const char *path, const char *text,
             int deadline_ms, int timeout_ms, char **body)
{
  g_autofree char *head = build_head (method, path, deadline_ms);
  g_autofree char *found = NULL;
  char ip[32];
  int status;

  format_ip (vm, ip);
  rig_note ("to vm-%d: %s %s %s", vm, method, path, text);
  status = request (ip, rig.base, head, text, timeout_ms, &found);
  rig_note ("vm-%d answers %s %s: %d %s", vm, method, path, status, found);
  if (body != NULL)
    *body = g_steal_pointer (&found);
  return status;
}

char *
rig_job (int n_tasks, int run_ms, int cpu, int memory_mb)
{
  return g_strdup_printf (
      "{\"bestEffort\":true,\"spec\":\"%d cpu=%d memMb=%d\",\"steps\":"
      "[{\"count\":%d,\"cpu\":%d,\"memMb\":%d,\"estMs\":%d}]}",
      run_ms, cpu, memory_mb, n_tasks, cpu, memory_mb, run_ms);
}

void
rig_open (struct rig_channel *channel, int vm)
{
  char ip[32];

  format_ip (vm, ip);
  channel->fd = connect_to (ip, rig.base);
  channel->input = g_string_new (NULL);
  channel->name = NULL;
}

void
rig_close (struct rig_channel *channel)
{
  if (channel->fd >= 0)
    close (channel->fd);
  channel->fd = -1;
  if (channel->input != NULL)
    g_string_free (channel->input, TRUE);
  channel->input = NULL;
  g_clear_pointer (&channel->name, g_free);
}

gboolean
rig_send (struct rig_channel *channel, const char *prefix, const char *id,
          const char *text, int deadline_ms)
{
  g_autofree char *path = g_strconcat (prefix, id, NULL);
  g_autofree char *head = build_head ("POST", path, deadline_ms);
  g_autofree char *all = g_strdup_printf (
      "%sContent-Length: %zu\r\n\r\n%s", head, strlen (text), text);

  g_free (channel->name);
  channel->name = g_steal_pointer (&path);
  channel->sent_ms = rig_now_ms ();
  g_string_truncate (channel->input, 0);
  rig_note ("client sends %s", channel->name);
  return channel->fd >= 0 && send_all (channel->fd, all, strlen (all));
}

int
rig_poll_answer (struct rig_channel *channel)
{
  char bytes[65536];
  const char *body;
  gssize n;
  int status;

  if (channel->fd < 0)
    return -1;
  n = recv (channel->fd, bytes, sizeof bytes, MSG_DONTWAIT);
  if (n < 0 && (errno == EAGAIN || errno == EINTR))
    return 0;
  if (n <= 0)
    {
      rig_note ("client's channel of %s is closed without an answer",
                channel->name);
      close (channel->fd);
      channel->fd = -1;
      return -1;
    }
  g_string_append_len (channel->input, bytes, n);
  status = parse_answer (channel->input, &body);
  if (status != 0)
    rig_note ("client gets the answer to %s: %d %s", channel->name, status,
              body);
  return status;
}

void
rig_set_faults (int zone, const char *json)
{
  rig_note ("workers of zone-%d: %s", zone, json);
  post (rig.control_ports[zone], "/standin/faults", json);
}

json_t *
rig_get_record (int zone)
{
  g_autofree char *body = NULL;
  json_t *root;

  if (request ("127.0.0.1", rig.control_ports[zone],
               "GET /standin/record HTTP/1.1\r\nHost: a\r\n", "", 10000, &body)
      != 200)
    rig_give_up ("the workers of zone-%d have no record", zone);
  root = json_loads (body, 0, NULL);
  if (root == NULL)
    rig_give_up ("the record of zone-%d can't be read", zone);
  return root;
}

void
rig_note_runs (int zone)
{
  json_t *record = rig_get_record (zone);
  json_t *list = json_object_get (record, "list");
  json_t *run;
  gsize i;
  gint64 first_ms = 0;

  json_array_foreach (list, i, run)
  {
    gint64 start_ms = json_integer_value (json_object_get (run, "start_ms"));
    gint64 end_ms = json_integer_value (json_object_get (run, "end_ms"));

    first_ms = i == 0 ? start_ms : first_ms;
    fprintf (rig.record,
             "  run of %s, number %d, on %s: from %6" G_GINT64_FORMAT
             " ms, %s after %" G_GINT64_FORMAT " ms%s%s\n",
             json_string_value (json_object_get (run, "task")),
             (int)json_integer_value (json_object_get (run, "run")),
             json_string_value (json_object_get (run, "worker")),
             start_ms - first_ms,
             json_string_value (json_object_get (run, "end")),
             end_ms > 0 ? end_ms - start_ms : 0,
             json_is_true (json_object_get (run, "over_capacity"))
                 ? ", OVER CAPACITY"
                 : "",
             json_is_true (json_object_get (run, "double")) ? ", DOUBLE" : "");
  }
  json_decref (record);
}

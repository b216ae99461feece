/*
 * The driver of the scripts of the third review.  It starts a small deployment
 * on loopback (the project's store and worker stand-ins, and entry VMs with
 * the command of the deploy file), plays one case against it, writes what was
 * sent, answered and run to a record, ends all that it started, and exits with
 * 1 if the rule was broken, 0 if it held, 2 if the case could not run.
 *
 * usage: driver CASE RECORD WORK_DIRECTORY
 * TROUBLE=0 in the environment leaves the disruption out.
 */
#define _GNU_SOURCE
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <jansson.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
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

#define MAX_VMS 4
#define MAX_PORTS 64
#define HOST "jobs.example"

enum port_use
{
  PORT_CALLERS,
  PORT_READINESS,
  PORT_PEERS,
  PORT_BEACON,
  PORT_METRICS,
  N_PORTS
};

struct child
{
  pid_t pid;
  int ports[MAX_PORTS];
  int n_ports;
};

struct vm
{
  pid_t pid;
  int n_ends; /* times it has ended by itself */
};

static FILE *record;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;
static const char *work;
static int trouble = 1;
static int base_port;
static int n_vms = 3;
static struct child store, workers;
static struct vm vms[MAX_VMS];
static double began;

static double
now (void)
{
  struct timespec t;

  clock_gettime (CLOCK_MONOTONIC, &t);
  return (double)t.tv_sec + (double)t.tv_nsec / 1e9;
}

static void
nap (double s)
{
  struct timespec t = { (time_t)s, (long)((s - (double)(time_t)s) * 1e9) };

  nanosleep (&t, NULL);
}

static void
note (const char *format, ...)
{
  va_list args;

  pthread_mutex_lock (&record_lock);
  fprintf (record, "%9.3f  ", now () - began);
  va_start (args, format);
  vfprintf (record, format, args);
  va_end (args);
  fputc ('\n', record);
  fflush (record);
  pthread_mutex_unlock (&record_lock);
}

static void
end_all (void)
{
  for (int i = 0; i < MAX_VMS; i++)
    if (vms[i].pid > 0)
      kill (vms[i].pid, SIGKILL);
  if (workers.pid > 0)
    kill (workers.pid, SIGKILL);
  if (store.pid > 0)
    kill (store.pid, SIGKILL);
  while (wait (NULL) > 0)
    ;
}

static void
finish (int status)
{
  end_all ();
  note ("exit %d: %s", status,
        status == 1   ? "the rule was broken"
        : status == 0 ? "the rule held"
                      : "the case could not run");
  exit (status);
}

static pid_t
spawn (const char *const *argv, int out, const char *log)
{
  pid_t pid = fork ();

  if (pid != 0)
    return pid;
  prctl (PR_SET_PDEATHSIG, SIGKILL);
  if (out < 0)
    out = open (log, O_WRONLY | O_CREAT | O_APPEND, 0600);
  dup2 (out, STDOUT_FILENO);
  if (log != NULL)
    dup2 (open (log, O_WRONLY | O_CREAT | O_APPEND, 0600), STDERR_FILENO);
  for (int fd = 3; fd < 4096; fd++)
    close (fd);
  execv (argv[0], (char *const *)argv);
  _exit (127);
}

/* Starts a stand-in and reads its ports.  */
static void
start_standin (struct child *child, const char *const *argv)
{
  char line[4096];
  char log[512];
  char *at;
  int fds[2];
  FILE *in;

  if (pipe (fds) != 0)
    finish (2);
  snprintf (log, sizeof log, "%s/standin.log", work);
  child->pid = spawn (argv, fds[1], log);
  close (fds[1]);
  in = fdopen (fds[0], "r");
  if (fgets (line, sizeof line, in) == NULL
      || (at = strstr (line, "\"ports\":[")) == NULL)
    {
      note ("a stand-in did not start");
      finish (2);
    }
  at += strlen ("\"ports\":[");
  while (*at != ']' && child->n_ports < MAX_PORTS)
    {
      child->ports[child->n_ports++] = (int)strtol (at, &at, 10);
      if (*at == ',')
        at++;
    }
}

static void
vm_ip (int vm, char ip[32])
{
  snprintf (ip, 32, "127.0.0.%d", vm + 1);
}

static int
is_free (const char *ip, int port, int type)
{
  struct sockaddr_in a = { .sin_family = AF_INET, .sin_port = htons ((uint16_t)port) };
  int one = 1;
  int s = socket (AF_INET, type, 0);
  int ok;

  inet_pton (AF_INET, ip, &a.sin_addr);
  if (type == SOCK_STREAM)
    setsockopt (s, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  ok = bind (s, (struct sockaddr *)&a, sizeof a) == 0;
  close (s);
  return ok;
}

static void
draw_ports (void)
{
  srand ((unsigned)(getpid () ^ time (NULL)));
  for (int i = 0; i < 200; i++)
    {
      int ok = 1;

      base_port = 20000 + rand () % 900 * 10;
      for (int vm = 0; vm < n_vms && ok; vm++)
        for (int k = 0; k < N_PORTS && ok; k++)
          {
            char ip[32];

            vm_ip (vm, ip);
            ok = is_free (ip, base_port + k, SOCK_STREAM)
                 && is_free (ip, base_port + k, SOCK_DGRAM);
          }
      if (ok)
        return;
    }
  note ("no free ports");
  finish (2);
}

/* A connection to IP:PORT, or -1.  */
static int
dial (const char *ip, int port, int timeout_ms)
{
  struct sockaddr_in a = { .sin_family = AF_INET, .sin_port = htons ((uint16_t)port) };
  struct timeval t = { timeout_ms / 1000, timeout_ms % 1000 * 1000 };
  int one = 1;
  int s = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  inet_pton (AF_INET, ip, &a.sin_addr);
  setsockopt (s, SOL_SOCKET, SO_SNDTIMEO, &t, sizeof t);
  setsockopt (s, SOL_SOCKET, SO_RCVTIMEO, &t, sizeof t);
  setsockopt (s, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  if (connect (s, (struct sockaddr *)&a, sizeof a) == 0)
    return s;
  close (s);
  return -1;
}

static int
send_all (int s, const char *text, size_t n)
{
  while (n > 0)
    {
      ssize_t k = send (s, text, n, MSG_NOSIGNAL);

      if (k <= 0)
        return 0;
      text += k;
      n -= (size_t)k;
    }
  return 1;
}

/* Reads one answer with a Content-Length into TEXT.  Returns its status, 0 if
   the channel ended without one, -1 after a time-out.  *BODY: where its body
   begins.  */
static int
read_answer (int s, char *text, size_t size, char **body)
{
  size_t n = 0;

  for (;;)
    {
      ssize_t k = recv (s, text + n, size - 1 - n, 0);
      char *end;
      char *length;

      if (k < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
        return -1;
      if (k <= 0)
        return 0;
      n += (size_t)k;
      text[n] = '\0';
      end = strstr (text, "\r\n\r\n");
      length = strcasestr (text, "Content-Length:");
      if (end == NULL)
        continue;
      if (length != NULL && length < end
          && n - (size_t)(end + 4 - text) < strtoul (length + 15, NULL, 10))
        continue;
      if (body != NULL)
        *body = end + 4;
      return atoi (text + 9);
    }
}

/* One call over a channel of its own.  */
static int
call (const char *ip, int port, const char *method, const char *path,
      const char *headers, const char *content, int timeout_ms, char *text,
      size_t size, char **body)
{
  size_t room = strlen (content) + 1024;
  char *request = malloc (room);
  int s = dial (ip, port, timeout_ms);
  int n = snprintf (request, room,
                    "%s %s HTTP/1.1\r\nHost: " HOST "\r\n%sContent-Type: "
                    "application/json\r\nContent-Length: %zu\r\n\r\n%s",
                    method, path, headers, strlen (content), content);
  int status = 0;

  if (s >= 0 && send_all (s, request, (size_t)n))
    status = read_answer (s, text, size, body);
  if (s >= 0)
    close (s);
  free (request);
  return status;
}

static int
put_entry (const char *topic, const char *key, const char *value)
{
  char path[256];
  char text[4096];

  snprintf (path, sizeof path, "/standin/put?topic=%s&key=%s", topic, key);
  return call ("127.0.0.1", store.ports[store.n_ports - 1], "POST", path, "",
               value, 2000, text, sizeof text, NULL);
}

/* What the workers have run; the caller frees it.  */
static json_t *
get_record (void)
{
  size_t size = 16 * 1024 * 1024;
  char *text = malloc (size);
  char *body = NULL;
  json_t *root = NULL;

  if (call ("127.0.0.1", workers.ports[workers.n_ports - 1], "GET",
            "/standin/record", "", "", 5000, text, size, &body)
      == 200)
    root = json_loads (body, 0, NULL);
  free (text);
  return root;
}

/* The settings of an entry VM, filled in as deploy/fleet.json.in says.  */
static void
start_vm (int vm)
{
  char path[512], log[512], ip[32];
  const char *argv[] = { "target/radishchute", "fleet", "--settings", path, NULL };
  FILE *f;

  vm_ip (vm, ip);
  snprintf (path, sizeof path, "%s/vm-%d.json", work, vm + 1);
  snprintf (log, sizeof log, "%s/vm-%d.log", work, vm + 1);
  f = fopen (path, "w");
  fprintf (f,
           "{\"vm\":\"edge-za-%d\",\"availability_zone\":\"za\",\"ip\":\"%s\","
           "\"availability_zones\":[\"za\"],\"callers\":\"%s:%d\","
           "\"readiness\":\"%s:%d\",\"peers\":\"%s:%d\",\"beacon_port\":%d,"
           "\"metrics\":\"%s:%d\",\"store\":\"127.0.0.1:%d\",\"shards\":16,"
           "\"member_ttl_ms\":1000,\"max_lease_ms\":1000,\"grace_s\":6,"
           "\"share_by_caller\":true,\"spread_retries\":true,"
           "\"caller_retry_ms\":1300,\"far_factor\":1.5,\"cpu_share\":0.25,"
           "\"cpu_cores\":1,\"share_by_capacity\":true,"
           "\"max_waiting_jobs\":1000,\"max_waiting_kb\":8192,"
           "\"placement_by_speed\":true,\"log_level\":\"info\"}\n",
           vm + 1, ip, ip, base_port + PORT_CALLERS, ip,
           base_port + PORT_READINESS, ip, base_port + PORT_PEERS,
           base_port + PORT_BEACON, ip, base_port + PORT_METRICS,
           store.ports[vm]);
  fclose (f);
  vms[vm].pid = spawn (argv, -1, log);
}

static int
is_ready (int vm)
{
  char ip[32], text[4096];

  vm_ip (vm, ip);
  return call (ip, base_port + PORT_READINESS, "GET", "/radishchute/readyz",
               "Connection: close\r\n", "", 1000, text, sizeof text, NULL)
         == 200;
}

static void
wait_ready (double s)
{
  double end = now () + s;

  for (int vm = 0; vm < n_vms;)
    {
      if (is_ready (vm))
        vm++;
      else if (now () > end)
        {
          note ("entry VM %d is not ready", vm + 1);
          finish (2);
        }
      else
        nap (0.05);
    }
}

static void
start_deployment (int n_workers)
{
  char doors[16], count[16], port[16];
  const char *const store_argv[]
      = { "build/standin", "store", "--doors", doors, NULL };
  const char *const worker_argv[]
      = { "build/standin", "worker", "--count", count, "--store", port,
          "--service", "svc", "--zone", "za", "--name", "w",
          "--heartbeat-ms", "1500", NULL };

  draw_ports ();
  snprintf (doors, sizeof doors, "%d", n_vms + 1);
  snprintf (count, sizeof count, "%d", n_workers);
  start_standin (&store, store_argv);
  snprintf (port, sizeof port, "%d", store.ports[store.n_ports - 1]);
  put_entry ("keyed.op", "config",
             "{\"version\":1,\"routes\":[{\"name\":\"jobs\",\"host\":\"" HOST
             "\",\"prefix\":\"/jobs/\",\"service\":\"svc\",\"attempts\":4,"
             "\"goalMs\":3000,\"stretch\":2}],\"services\":[{\"name\":"
             "\"svc\"}]}");
  start_standin (&workers, worker_argv);
  for (int vm = 0; vm < n_vms; vm++)
    start_vm (vm);
  wait_ready (20);
  nap (1);
  note ("%d entry VMs and %d workers are up; TROUBLE=%d", n_vms, n_workers,
        trouble);
}

static void
draw_id (char id[17])
{
  static unsigned seed;

  pthread_mutex_lock (&record_lock);
  if (seed == 0)
    seed = (unsigned)(getpid () * 7919) ^ (unsigned)time (NULL);
  snprintf (id, 17, "%08x%08x", (unsigned)rand_r (&seed),
            (unsigned)rand_r (&seed));
  pthread_mutex_unlock (&record_lock);
}

/* Hands a job of N tasks to VM, over a channel of its own, and waits for the
   answer.  Returns its status.  */
static int
run_job (int vm, int n, int ms, int cpu, int budget_ms)
{
  char ip[32], id[17], path[64], headers[64], content[512], text[8192];
  double sent = now ();
  int status;

  vm_ip (vm, ip);
  draw_id (id);
  snprintf (path, sizeof path, "/jobs/%s", id);
  snprintf (headers, sizeof headers, "Radishchute-Deadline-Ms: %d\r\n",
            budget_ms);
  snprintf (content, sizeof content,
            "{\"spec\":\"%d cpu=%d memMb=64\",\"steps\":[{\"count\":%d,"
            "\"cpu\":%d,\"memMb\":64,\"estMs\":%d}],\"bestEffort\":true}",
            ms, cpu, n, cpu, ms);
  status = call (ip, base_port + PORT_CALLERS, "POST", path, headers, content,
                 budget_ms, text, sizeof text, NULL);
  note ("job %s sent to VM %d at %.3f: %s %d", id, vm + 1, sent - began,
        status == -1  ? "no answer in time"
        : status == 0 ? "no channel or no answer"
                      : "answer",
        status > 0 ? status : 0);
  return status;
}

/* Case 11: callers that send the begin of a next request and leave.  */

static const char count_request[]
    = "GET /jobs/ HTTP/1.1\r\nHost: " HOST "\r\n\r\n";

/* A caller that asks for a count twice over one channel.  If it LEAVES, it
   does so while it sends the second request.  Returns whether all answers that
   it has waited for have come.  */
static int
ask_counts (int vm, int leaves)
{
  char ip[32], text[4096];
  char both[2 * sizeof count_request];
  size_t one = sizeof count_request - 1;
  int ok = 1;
  int s;

  vm_ip (vm, ip);
  s = dial (ip, base_port + PORT_CALLERS, 2000);
  if (s < 0)
    return 0;
  memcpy (both, count_request, one);
  memcpy (both + one, count_request, one);
  if (leaves)
    {
      /* It is gone before it has read the first answer.  */
      struct pollfd answer = { .fd = s, .events = POLLIN };

      send_all (s, both, one + 10);
      poll (&answer, 1, 1000);
    }
  else
    {
      ok = send_all (s, both, one + 10) && send_all (s, both + one + 10, one - 10);
      for (int i = 0; i < 2 && ok; i++)
        {
          /* The two answers may arrive together.  */
          ok = read_answer (s, text, sizeof text, NULL) == 200;
          if (ok && strstr (strstr (text, "\r\n\r\n"), "HTTP/1.1 200") != NULL)
            break;
        }
    }
  close (s);
  return ok;
}

static volatile int is_down[MAX_VMS];

/* Notes the end of VM by itself, and starts it again as the platform does.  */
static int
has_ended (int vm)
{
  int status;

  if (waitpid (vms[vm].pid, &status, WNOHANG) != vms[vm].pid)
    return 0;
  vms[vm].n_ends++;
  if (WIFSIGNALED (status))
    note ("VM %d has ended by itself: signal %d (%s)", vm + 1,
          WTERMSIG (status), strsignal (WTERMSIG (status)));
  else
    note ("VM %d has ended by itself: status %d", vm + 1,
          WEXITSTATUS (status));
  is_down[vm] = 1;
  nap (0.5);
  start_vm (vm);
  for (int i = 0; i < 100 && !is_ready (vm); i++)
    nap (0.05);
  is_down[vm] = 0;
  return 1;
}

#define N_CALLERS 8

/* Callers that ask for counts, one after the other.  */
struct callers
{
  int vm;
  int n_left;
  int n_stayed;
  int n_failed;
};

static volatile int is_over;

static void *
ask (void *data)
{
  struct callers *c = data;

  for (int k = 0; !is_over; k++)
    {
      /* One caller in four leaves.  */
      int leaves = trouble && k % 4 == 3;
      int ok;

      if (is_down[c->vm])
        {
          nap (0.05);
          continue;
        }
      ok = ask_counts (c->vm, leaves);
      c->n_left += leaves;
      c->n_stayed += !leaves;
      c->n_failed += !leaves && !ok;
      nap (0.002);
    }
  return NULL;
}

static void
case_leave (void)
{
  struct callers callers[N_CALLERS];
  pthread_t threads[N_CALLERS];
  int n_left = 0, n_stayed = 0, n_failed = 0, n_jobs = 0, n_done = 0;
  double end;

  start_deployment (4);
  for (int k = 0; k < N_CALLERS; k++)
    {
      callers[k] = (struct callers){ .vm = k % 2 };
      pthread_create (&threads[k], NULL, ask, &callers[k]);
    }
  end = now () + 60;
  while (now () < end && (vms[0].n_ends < 3 || vms[1].n_ends < 3))
    {
      n_jobs++;
      n_done += run_job (n_jobs % n_vms, 2, 200, 1000, 1500) == 200;
      for (int vm = 0; vm < n_vms; vm++)
        has_ended (vm);
    }
  is_over = 1;
  for (int k = 0; k < N_CALLERS; k++)
    {
      pthread_join (threads[k], NULL);
      n_left += callers[k].n_left;
      n_stayed += callers[k].n_stayed;
      n_failed += callers[k].n_failed;
    }
  note ("%d callers asked for counts and stayed, %d of them got no answer; %d "
        "left; %d of %d jobs done",
        n_stayed, n_failed, n_left, n_done, n_jobs);
  note ("ends by themselves: VM 1 %d, VM 2 %d, VM 3 %d", vms[0].n_ends,
        vms[1].n_ends, vms[2].n_ends);
  finish (vms[0].n_ends >= 3 && vms[1].n_ends >= 3);
}

/* Case 12: an entry from another writer, with a field missing.  */

static double traffic_end;

static void *
hand_in (void *data)
{
  int vm = *(int *)data;

  while (now () < traffic_end)
    run_job (vm, 4, 800, 2000, 5000);
  return NULL;
}

static void
case_entry (void)
{
  pthread_t threads[6];
  int of[6];
  json_t *root, *list, *run;
  json_int_t n_double;
  size_t i;
  int n_written = 0;

  n_vms = 2;
  start_deployment (4);
  traffic_end = now () + 30;
  for (int k = 0; k < 6; k++)
    {
      of[k] = k % n_vms;
      pthread_create (&threads[k], NULL, hand_in, &of[k]);
    }
  nap (2.3);
  while (now () < traffic_end - 2)
    {
      char entry[512];

      /* The field `born` is missing.  */
      snprintf (entry, sizeof entry,
                "{\"service\":\"svc\",\"addr\":\"127.0.0.1:%d\",\"zone\":"
                "\"za\",\"version\":\"v1\",\"slots\":16,\"state\":\"ready\","
                "\"warmupLeftMs\":0,\"capacity\":{\"cpu\":16000,\"memMb\":"
                "32768,\"gpu\":0},\"labels\":[\"a\",\"r0\"],\"seq\":%d}",
                workers.ports[1], n_written + 1);
      if (trouble && put_entry ("keyed.servers", "w-0", entry) == 200)
        note ("another writer: servers/w-0 = %s", entry);
      n_written++;
      nap (2.1);
    }
  for (int k = 0; k < 6; k++)
    pthread_join (threads[k], NULL);
  nap (1);
  root = get_record ();
  if (root == NULL)
    finish (2);
  n_double = json_integer_value (json_object_get (root, "double_runs"));
  list = json_object_get (root, "list");
  json_array_foreach (list, i, run)
  {
    char *text;

    if (!json_is_true (json_object_get (run, "double")))
      continue;
    text = json_dumps (run, JSON_COMPACT);
    note ("a run that began while another run of its task was under way: %s",
          text);
    for (size_t k = 0; k < i; k++)
      {
        json_t *other = json_array_get (list, k);
        char *other_text;

        if (!json_equal (json_object_get (other, "task"),
                         json_object_get (run, "task")))
          continue;
        other_text = json_dumps (other, JSON_COMPACT);
        note ("  the other run: %s", other_text);
        free (other_text);
      }
    free (text);
  }
  note ("%" JSON_INTEGER_FORMAT " starts, %" JSON_INTEGER_FORMAT
        " of them while another run of the task was under way",
        json_integer_value (json_object_get (root, "starts")), n_double);
  json_decref (root);
  finish (n_double > 0);
}

static void
on_alarm (int signal)
{
  end_all ();
  _exit (2);
}

int
main (int argc, char **argv)
{
  const char *text = getenv ("TROUBLE");

  if (argc != 4)
    return 2;
  trouble = text == NULL || strcmp (text, "0") != 0;
  work = argv[3];
  record = fopen (argv[2], "w");
  if (record == NULL)
    return 2;
  fcntl (fileno (record), F_SETFD, FD_CLOEXEC);
  began = now ();
  signal (SIGPIPE, SIG_IGN);
  signal (SIGALRM, on_alarm);
  signal (SIGTERM, on_alarm);
  signal (SIGINT, on_alarm);
  alarm (118);
  if (strcmp (argv[1], "leave") == 0)
    case_leave ();
  else if (strcmp (argv[1], "entry") == 0)
    case_entry ();
  return 2;
}

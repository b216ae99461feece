#include "t/soak/faults.h"

#include <signal.h>
#include <string.h>

#define MEAN_GAP_MS 600
#define MAX_DRAWS 8
#define MS_PER_S 1000

/* Faults are taken back by then.  */
#define END_SLACK_MS 100

/* With two zones, the second one is evacuated from this time after the start
   to this time before the end of the faults.  */
#define EVACUATED_ZONE 1
#define EVACUATION_DELAY_MS 500
#define EVACUATION_REST_MS 500

/* How long it takes until an evacuation is in force, and the longest time by
   which a fault delays that, or the execution of an order.  */
#define EVACUATION_MS 5000
#define MAX_FAULT_MS 3200
#define MAX_ORDER_DELAY_MS 2000

enum target
{
  TARGET_VM,
  TARGET_DOOR,   /* of the store; one a VM, and one for the workers */
  TARGET_STORE,  /* the store itself */
  TARGET_WORKER, /* its orders and tasks */
  TARGET_TO_WORKER,
  TARGET_TO_STORE,
  TARGET_TO_PEER,
  TARGET_FROM_CALLERS, /* their links to a VM */
  TARGET_CALLERS,
  TARGET_COUNT
};

enum vm_fault
{
  VM_PAUSE,
  VM_KILL,
  VM_STOP,
};

enum caller_fault
{
  CALLERS_BURST,
  CALLERS_LEAVE,
};

/*
 * What ON and OFF are posted to: a control of the stand-in that is the target.
 * A "$" in ON stands for a value from MIN to MAX.
 */
struct fault_kind
{
  const char *name;
  enum target target;
  const char *path;
  const char *on;
  const char *off_path; /* NULL for that of ON */
  const char *off;      /* NULL when it ends by itself */
  guint min;
  guint max;
};

#define CLEAN_STORE                                                           \
  "\"mode\":\"serves\",\"delay_ms\":0,\"late_ms\":0,"                         \
  "\"loses_answers\":false"
#define CLEAN_WORKER                                                          \
  "\"late_percent\":0,\"lose_percent\":0,"                                    \
  "\"drop_percent\":0,\"fail_percent\":0,"                                    \
  "\"hang_percent\":0,\"slow_factor\":1,\"unhealthy\":0"
#define FAULTS "faults"
#define LINKS(target, name, on, min, max)                                     \
  {                                                                           \
    name, target, FAULTS, on, NULL, "\"refuse\":false", min, max              \
  }
#define ALL_LINKS(name, on, min, max)                                         \
  LINKS (TARGET_TO_WORKER, "worker-" name, on, min, max),                     \
      LINKS (TARGET_TO_STORE, "store-" name, on, min, max),                   \
      LINKS (TARGET_TO_PEER, "peer-" name, on, min, max),                     \
      LINKS (TARGET_FROM_CALLERS, "caller-" name, on, min, max)

static const struct fault_kind kinds[] = {
  { "vm-pause", TARGET_VM, .min = VM_PAUSE },
  { "vm-pause", TARGET_VM, .min = VM_PAUSE },
  { "vm-kill", TARGET_VM, .min = VM_KILL },
  { "vm-kill", TARGET_VM, .min = VM_KILL },
  { "vm-stop", TARGET_VM, .min = VM_STOP },
  { "vm-stop", TARGET_VM, .min = VM_STOP },
  { "store-refuses", TARGET_DOOR, FAULTS, "\"mode\":\"refuses\"", NULL,
    CLEAN_STORE },
  { "store-busy", TARGET_DOOR, FAULTS, "\"mode\":\"busy\"", NULL,
    CLEAN_STORE },
  { "store-silent", TARGET_DOOR, FAULTS, "\"mode\":\"silent\"", NULL,
    CLEAN_STORE },
  { "store-resets", TARGET_DOOR, FAULTS, "\"mode\":\"resets\"", NULL,
    CLEAN_STORE },
  { "store-slow", TARGET_DOOR, FAULTS, "\"delay_ms\":$", NULL, CLEAN_STORE,
    200, 1500 },
  { "store-loses-answers", TARGET_DOOR, FAULTS, "\"loses_answers\":true", NULL,
    CLEAN_STORE },
  { "store-late", TARGET_DOOR, FAULTS, "\"late_ms\":$", NULL, CLEAN_STORE, 500,
    2000 },
  { "store-deals-anew", TARGET_STORE, "deal?group=shards.reykjavik-a" },
  { "store-takes-back", TARGET_STORE,
    "deal?group=shards.reykjavik-a&force=1" },
  { "store-forgets", TARGET_STORE, "trim?topic=keyed.servers&part=0" },
  { "worker-crash", TARGET_WORKER, "crash", "", "rebirth", "" },
  { "worker-dark", TARGET_WORKER, "crash", "\"silent\":true", "rebirth", "" },
  { "worker-drain", TARGET_WORKER, "drain", "\"drain_ms\":$", "rebirth", "",
    500, 2000 },
  { "worker-slow", TARGET_WORKER, FAULTS, "\"slow_factor\":$", NULL,
    CLEAN_WORKER, 2, 10 },
  { "worker-fails", TARGET_WORKER, FAULTS, "\"fail_percent\":$", NULL,
    CLEAN_WORKER, 30, 100 },
  { "worker-hangs", TARGET_WORKER, FAULTS, "\"hang_percent\":$", NULL,
    CLEAN_WORKER, 30, 100 },
  { "worker-late", TARGET_WORKER, FAULTS, "\"late_percent\":30,\"late_ms\":$",
    NULL, CLEAN_WORKER, 100, 2000 },
  { "worker-loses-answers", TARGET_WORKER, FAULTS, "\"lose_percent\":$", NULL,
    CLEAN_WORKER, 10, 100 },
  { "worker-drops", TARGET_WORKER, FAULTS, "\"drop_percent\":$", NULL,
    CLEAN_WORKER, 10, 100 },
  { "worker-unhealthy", TARGET_WORKER, FAULTS, "\"unhealthy\":503", NULL,
    CLEAN_WORKER },
  ALL_LINKS ("link-slow", "\"up\":{\"delay_ms\":$},\"down\":{\"delay_ms\":$}",
             20, 400),
  ALL_LINKS ("link-reset", "\"reset_existing\":true", 0, 0),
  ALL_LINKS ("link-silent", "\"silence_existing\":true", 0, 0),
  ALL_LINKS ("link-cut-up", "\"up\":{\"silent\":true}", 0, 0),
  ALL_LINKS ("link-cut-down", "\"down\":{\"silent\":true}", 0, 0),
  ALL_LINKS ("link-cut", "\"up\":{\"silent\":true},\"down\":{\"silent\":true}",
             0, 0),
  ALL_LINKS ("link-refused", "\"refuse\":true,\"reset_existing\":true", 0, 0),
  { "callers-burst", TARGET_CALLERS, .min = CALLERS_BURST },
  { "callers-leave", TARGET_CALLERS, .min = CALLERS_LEAVE },
};

struct fault
{
  const struct fault_kind *kind;
  gint64 from_ms;
  gint64 to_ms; /* as drawn; a VM may take longer to end */
  guint first;  /* target */
  guint n;      /* targets */
  guint value;
  gboolean is_begun;
  gboolean is_over;
};

struct outage
{
  guint vm;
  enum outage_kind kind;
  gint64 from_ms;
  gint64 to_ms; /* G_MAXINT64 while it lasts */
};

struct faults
{
  struct fleet_bed *bed;
  struct traffic *traffic;
  GRand *random;
  GArray *schedule; /* struct fault */
  GArray *outages;  /* struct outage */
  gint64 end_ms;
  gint64 evacuate_ms;  /* when to; G_MAXINT64 for never */
  gint64 take_back_ms; /* when to */
  gint64 evacuated_ms; /* when the store had it; 0 before */
  gint64 in_use_ms;    /* when the zone was taken back; 0 before */
  guint n_own_ends;
};

static guint
draw (struct faults *faults, guint n)
{
  return (guint)g_rand_int_range (faults->random, 0, (gint32)n);
}

static guint
count_targets (const struct faults *faults, enum target target)
{
  const struct fleet_bed *bed = faults->bed;
  const guint counts[TARGET_COUNT] = {
    [TARGET_VM] = bed->n_vms,
    [TARGET_DOOR] = bed->n_vms + 1,
    [TARGET_STORE] = 1,
    [TARGET_WORKER] = bed->plan.n_workers,
    [TARGET_TO_WORKER] = bed->plan.n_workers,
    [TARGET_TO_STORE] = bed->n_vms + 1,
    [TARGET_TO_PEER] = bed->n_vms,
    [TARGET_FROM_CALLERS] = bed->n_vms,
    [TARGET_CALLERS] = 1,
  };

  return counts[target];
}

/* Whether another fault hits a target of FAULT at the same time.  */
static gboolean
is_taken (const struct faults *faults, const struct fault *fault)
{
  for (guint i = 0; i < faults->schedule->len; i++)
    {
      const struct fault *other
          = &g_array_index (faults->schedule, struct fault, i);

      if (other->kind->target == fault->kind->target
          && other->to_ms >= fault->from_ms
          && other->first < fault->first + fault->n
          && fault->first < other->first + other->n)
        return TRUE;
    }
  return FALSE;
}

/* Draws a fault that begins at FROM_MS and is over by END_MS.  */
static void
draw_fault (struct faults *faults, gint64 from_ms, gint64 end_ms,
            struct fault *fault)
{
  const struct fault_kind *kind = &kinds[draw (faults, G_N_ELEMENTS (kinds))];
  guint n_targets = count_targets (faults, kind->target);
  guint extent = draw (faults, 10);

  *fault = (struct fault){ .kind = kind, .from_ms = from_ms };
  fault->to_ms = MIN (from_ms + 200 + draw (faults, 3000), end_ms);
  fault->n = extent == 0 ? n_targets : extent < 3 ? (n_targets + 1) / 2 : 1;
  fault->first = draw (faults, n_targets - fault->n + 1);
  fault->value
      = kind->min
        + draw (faults, kind->max > kind->min ? kind->max - kind->min + 1 : 1);
}

static void
draw_schedule (struct faults *faults, gint64 from_ms, gint64 end_ms)
{
  struct fault fault;

  for (; from_ms < end_ms;
       from_ms += 50 + draw (faults, 2 * MEAN_GAP_MS - 100))
    {
      guint n_draws = 0;

      do
        draw_fault (faults, from_ms, end_ms, &fault);
      while (is_taken (faults, &fault) && ++n_draws < MAX_DRAWS);
      if (n_draws < MAX_DRAWS)
        g_array_append_val (faults->schedule, fault);
    }
}

struct faults *
faults_new (struct fleet_bed *bed, struct traffic *traffic, guint32 seed,
            guint seconds)
{
  struct faults *faults = g_new0 (struct faults, 1);
  gint64 now_ms = soak_now_ms ();

  faults->bed = bed;
  faults->traffic = traffic;
  faults->random = g_rand_new_with_seed (seed);
  faults->schedule = g_array_new (FALSE, FALSE, sizeof (struct fault));
  faults->outages = g_array_new (FALSE, FALSE, sizeof (struct outage));
  faults->evacuate_ms = G_MAXINT64;
  if (bed->plan.n_zones > 1)
    {
      faults->evacuate_ms = now_ms + EVACUATION_DELAY_MS;
      faults->take_back_ms
          = now_ms + (gint64)seconds * MS_PER_S - EVACUATION_REST_MS;
    }
  draw_schedule (faults, now_ms + MS_PER_S,
                 now_ms + (gint64)seconds * MS_PER_S);
  return faults;
}

void
faults_free (struct faults *faults)
{
  g_array_unref (faults->schedule);
  g_array_unref (faults->outages);
  g_rand_free (faults->random);
  g_free (faults);
}

/* The outage of VM that lasts, or NULL.  */
static struct outage *
find_outage (const struct faults *faults, guint vm)
{
  for (guint i = 0; i < faults->outages->len; i++)
    {
      struct outage *outage
          = &g_array_index (faults->outages, struct outage, i);

      if (outage->vm == vm && outage->to_ms == G_MAXINT64)
        return outage;
    }
  return NULL;
}

static void
begin_outage (struct faults *faults, guint vm, enum outage_kind kind)
{
  struct outage *before = find_outage (faults, vm);
  struct outage outage = { vm, kind, soak_now_ms (), G_MAXINT64 };

  if (before != NULL)
    before->to_ms = outage.from_ms;
  g_array_append_val (faults->outages, outage);
}

static void
end_outage (struct faults *faults, guint vm)
{
  find_outage (faults, vm)->to_ms = soak_now_ms ();
}

static void
begin_vm_fault (struct faults *faults, const struct fault *fault, guint vm)
{
  struct process *process = faults->bed->vms[vm];

  if (find_outage (faults, vm) != NULL)
    return;
  if (fault->value == VM_PAUSE)
    {
      process_signal (process, SIGSTOP);
      begin_outage (faults, vm, OUTAGE_PAUSED);
    }
  else if (fault->value == VM_KILL)
    {
      begin_outage (faults, vm, OUTAGE_DOWN);
      fleet_bed_kill_vm (faults->bed, vm);
    }
  else
    {
      begin_outage (faults, vm, OUTAGE_LEAVING);
      process_signal (process, SIGTERM);
    }
}

/* Follows a VM that was told to stop; returns whether it has ended.  */
static gboolean
follow_leaving (struct faults *faults, struct outage *outage, guint vm)
{
  struct process *process = faults->bed->vms[vm];
  gint64 lasted_ms = soak_now_ms () - outage->from_ms;

  if (process_is_running (process) && lasted_ms < FLEET_BED_GRACE_S * MS_PER_S)
    return FALSE;
  begin_outage (faults, vm, OUTAGE_DOWN);
  fleet_bed_kill_vm (faults->bed, vm);
  return TRUE;
}

/* Returns whether VM, which is down, takes connections again.  */
static gboolean
restart (struct faults *faults, guint vm)
{
  if (faults->bed->vms[vm] == NULL)
    {
      fleet_bed_start_vm (faults->bed, vm);
      faults->end_ms = soak_now_ms ();
    }
  if (!fleet_bed_is_listening (faults->bed, vm))
    return FALSE;
  end_outage (faults, vm);
  return TRUE;
}

/* Returns whether VM runs again.  */
static gboolean
end_vm_fault (struct faults *faults, guint vm)
{
  struct outage *outage = find_outage (faults, vm);

  if (outage == NULL)
    return TRUE;
  /* OUTAGE is not valid after follow_leaving (), which adds another.  */
  if (outage->kind == OUTAGE_LEAVING)
    return follow_leaving (faults, outage, vm) && restart (faults, vm);
  if (outage->kind != OUTAGE_PAUSED)
    return restart (faults, vm);
  process_signal (faults->bed->vms[vm], SIGCONT);
  faults->end_ms = soak_now_ms ();
  end_outage (faults, vm);
  return TRUE;
}

/* Posts MEMBERS to a control of the stand-in that is target INDEX.  */
static void
post (struct faults *faults, const struct fault *fault, const char *path,
      const char *members, guint index)
{
  struct fleet_bed *bed = faults->bed;
  guint n_each = bed->plan.n_workers / bed->plan.n_worker_processes;
  enum target target = fault->kind->target;
  const char *member = "route";
  g_autofree char *url = NULL;
  g_autofree char *value = g_strdup_printf ("%u", fault->value);
  g_autoptr (GString) body = g_string_new (members);

  if (target == TARGET_DOOR || target == TARGET_STORE)
    {
      member = "door";
      url = http_url (bed->store->ports[0], "/standin/%s", path);
    }
  else if (target == TARGET_WORKER)
    {
      member = "worker";
      url = fleet_bed_worker_control (bed, index / n_each, path);
      index %= n_each;
    }
  else
    {
      url = http_url (bed->proxy->ports[bed->proxy->n_ports - 1], "/test/%s",
                      path);
      if (target == TARGET_TO_WORKER)
        index = fleet_bed_worker_route (bed, index);
      else if (target == TARGET_TO_STORE)
        index = fleet_bed_store_route (bed, index);
      else if (target == TARGET_FROM_CALLERS)
        index = fleet_bed_caller_route (bed, index);
      else
        index = fleet_bed_peer_route (bed, index);
    }
  g_string_replace (body, "$", value, 0);
  g_string_append_printf (body, "%s\"%s\":%u}", body->len > 0 ? "," : "",
                          member, index);
  g_string_prepend (body, "{");
  http_post (url, body->str);
}

static void
begin_fault (struct faults *faults, struct fault *fault)
{
  const struct fault_kind *kind = fault->kind;

  fault->is_begun = TRUE;
  if (kind->target == TARGET_CALLERS)
    {
      traffic_burst (faults->traffic, 60,
                     fault->value == CALLERS_LEAVE ? 50 + draw (faults, 300)
                                                   : 0);
      return;
    }
  for (guint i = fault->first; i < fault->first + fault->n; i++)
    if (kind->target == TARGET_VM)
      begin_vm_fault (faults, fault, i);
    else
      post (faults, fault, kind->path, kind->on != NULL ? kind->on : "", i);
}

static void
end_fault (struct faults *faults, struct fault *fault)
{
  const struct fault_kind *kind = fault->kind;

  fault->is_over = TRUE;
  for (guint i = fault->first; i < fault->first + fault->n; i++)
    if (kind->target == TARGET_VM)
      fault->is_over &= end_vm_fault (faults, i);
    else if (kind->off != NULL)
      post (faults, fault,
            kind->off_path != NULL ? kind->off_path : kind->path, kind->off,
            i);
  if (kind->target == TARGET_FROM_CALLERS)
    for (guint i = fault->first; i < fault->first + fault->n; i++)
      traffic_renew_connections (faults->traffic, i);
  if (kind->target != TARGET_VM)
    faults->end_ms = soak_now_ms ();
}

/* Whether a fault that has begun is to bring VM back.  */
static gboolean
is_handled (const struct faults *faults, guint vm)
{
  for (guint i = 0; i < faults->schedule->len; i++)
    {
      const struct fault *fault
          = &g_array_index (faults->schedule, struct fault, i);

      if (fault->kind->target == TARGET_VM && fault->is_begun
          && !fault->is_over && fault->first <= vm
          && vm < fault->first + fault->n)
        return TRUE;
    }
  return FALSE;
}

/* A VM that ended by itself is started again, as the platform does.  */
static void
check_own_ends (struct faults *faults)
{
  for (guint vm = 0; vm < faults->bed->n_vms; vm++)
    if (find_outage (faults, vm) != NULL)
      {
        if (!is_handled (faults, vm))
          restart (faults, vm);
      }
    else if (!process_is_running (faults->bed->vms[vm]))
      {
        faults->n_own_ends++;
        begin_outage (faults, vm, OUTAGE_DOWN);
        fleet_bed_kill_vm (faults->bed, vm);
        restart (faults, vm);
      }
}

static void
advance_evacuation (struct faults *faults, gint64 now_ms)
{
  if (faults->evacuated_ms == 0 && now_ms >= faults->evacuate_ms)
    {
      fleet_bed_evacuate (faults->bed, EVACUATED_ZONE);
      faults->evacuated_ms = soak_now_ms ();
    }
  if (faults->evacuated_ms != 0 && faults->in_use_ms == 0
      && now_ms >= faults->take_back_ms)
    {
      faults->in_use_ms = soak_now_ms ();
      fleet_bed_take_back (faults->bed, EVACUATED_ZONE);
    }
}

gboolean
faults_forbid_start (const struct faults *faults, guint zone, gint64 start_ms)
{
  return zone == EVACUATED_ZONE && faults->in_use_ms != 0
         && start_ms < faults->in_use_ms
         && start_ms > faults->evacuated_ms + EVACUATION_MS + MAX_FAULT_MS
                           + MAX_ORDER_DELAY_MS;
}

void
faults_advance (struct faults *faults)
{
  gint64 now_ms = soak_now_ms ();

  check_own_ends (faults);
  advance_evacuation (faults, now_ms);
  for (guint i = 0; i < faults->schedule->len; i++)
    {
      struct fault *fault = &g_array_index (faults->schedule, struct fault, i);

      if (!fault->is_begun && fault->from_ms <= now_ms)
        begin_fault (faults, fault);
      if (fault->is_begun && !fault->is_over && fault->to_ms <= now_ms)
        end_fault (faults, fault);
    }
}

gboolean
faults_are_over (const struct faults *faults)
{
  if (faults->evacuate_ms != G_MAXINT64 && faults->in_use_ms == 0)
    return FALSE;
  for (guint i = 0; i < faults->schedule->len; i++)
    if (!g_array_index (faults->schedule, struct fault, i).is_over)
      return FALSE;
  return TRUE;
}

gint64
faults_get_end_ms (const struct faults *faults)
{
  return faults->end_ms;
}

guint
faults_count (const struct faults *faults)
{
  return faults->schedule->len;
}

gboolean
faults_was_out (const struct faults *faults, guint vm, enum outage_kind kind,
                gint64 from_ms, gint64 to_ms)
{
  for (guint i = 0; i < faults->outages->len; i++)
    {
      const struct outage *outage
          = &g_array_index (faults->outages, struct outage, i);

      if (outage->vm == vm && outage->kind == kind && outage->from_ms <= to_ms
          && outage->to_ms >= from_ms)
        return TRUE;
    }
  return FALSE;
}

gboolean
faults_were_callers_cut (const struct faults *faults, guint vm, gint64 from_ms,
                         gint64 to_ms)
{
  for (guint i = 0; i < faults->schedule->len; i++)
    {
      const struct fault *fault
          = &g_array_index (faults->schedule, struct fault, i);

      if (fault->kind->target == TARGET_FROM_CALLERS && fault->first <= vm
          && vm < fault->first + fault->n && fault->from_ms <= to_ms
          && (!fault->is_over || fault->to_ms + END_SLACK_MS >= from_ms))
        return TRUE;
    }
  return FALSE;
}

gboolean
faults_were_others (const struct faults *faults, gint64 from_ms, gint64 to_ms)
{
  guint n = 0;

  for (guint i = 0; i < faults->schedule->len; i++)
    {
      const struct fault *fault
          = &g_array_index (faults->schedule, struct fault, i);

      if (fault->from_ms <= to_ms && fault->to_ms >= from_ms)
        n += fault->kind->target == TARGET_VM && fault->value == VM_STOP
                     && fault->n == 1
                 ? 1
                 : 2;
    }
  return n > 1;
}

guint
faults_count_own_ends (const struct faults *faults)
{
  return faults->n_own_ends;
}

void
faults_print (const struct faults *faults, gint64 start_ms, FILE *file)
{
  for (guint i = 0; i < faults->schedule->len; i++)
    {
      const struct fault *fault
          = &g_array_index (faults->schedule, struct fault, i);

      fprintf (file, "%7.3f to %7.3f  %-24s %u+%u  value %u\n",
               (double)(fault->from_ms - start_ms) / MS_PER_S,
               (double)(fault->to_ms - start_ms) / MS_PER_S, fault->kind->name,
               fault->first, fault->n, fault->value);
    }
  for (guint i = 0; i < faults->outages->len; i++)
    {
      static const char *const names[] = { "paused", "leaving", "down" };
      const struct outage *outage
          = &g_array_index (faults->outages, struct outage, i);

      fprintf (file, "%7.3f to %7.3f  VM %u %s\n",
               (double)(outage->from_ms - start_ms) / MS_PER_S,
               (double)(outage->to_ms - start_ms) / MS_PER_S, outage->vm + 1,
               names[outage->kind]);
    }
}

#include "coordination/membership.h"

#include "base/hash64.h"
#include "coordination/membership_links.h"

/* Number of heartbeats that introduce this VM to a peer that may not know it;
   some may be lost.  */
#define N_INTRODUCTIONS 3

/* A tick that is late by more than this means that the process was paused.  */
#define PAUSE_THRESHOLD_US (3 * MEMBERSHIP_TICK_US)

/* Heartbeats are sent early by a random time of up to the interval divided by
   this, so that VMs do not send them in step.  */
#define JITTER_DIVISOR 20

struct membership
{
  struct membership_driver *driver;
  GRand *random;
  char *availability_zone;
  guint64 own_hash;
  guint64 own_incarnation;
  GHashTable *by_hash; /* struct peer.name_hash -> struct peer, owned */
  GPtrArray *peers;    /* the same, in the order in which they were added */
  gint64 last_tick_us; /* time of the last tick; 0 before */
  gboolean has_list;
  gboolean must_choose_links; /* the peers to choose from have changed */
};

static const char *const state_names[] = {
  [PEER_UNHEARD] = "unheard", [PEER_ALIVE] = "alive",
  [PEER_SUSPECT] = "suspect", [PEER_SILENT] = "silent",
  [PEER_DEAD] = "dead",
};

const char *
peer_state_name (enum peer_state state)
{
  return state_names[state];
}

gboolean
peer_is_live (const struct peer *peer)
{
  return peer->state == PEER_ALIVE || peer->state == PEER_SUSPECT;
}

static void
peer_free (gpointer data)
{
  struct peer *peer = data;

  g_free (peer->name);
  g_free (peer->availability_zone);
  g_free (peer->address);
  g_free (peer);
}

struct membership *
membership_new (struct membership_driver *driver,
                const struct membership_config *config)
{
  struct membership *m = g_new0 (struct membership, 1);

  m->driver = driver;
  m->random = g_rand_new_with_seed (config->seed);
  m->availability_zone = g_strdup (config->availability_zone);
  m->own_hash = hash64_string (config->vm);
  m->own_incarnation = config->incarnation;
  m->by_hash
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, peer_free);
  m->peers = g_ptr_array_new ();
  return m;
}

void
membership_free (struct membership *m)
{
  for (guint i = 0; i < m->peers->len; i++)
    m->driver->ops->peer_forgotten (m->driver, m->peers->pdata[i]);
  g_ptr_array_unref (m->peers);
  g_hash_table_unref (m->by_hash);
  g_rand_free (m->random);
  g_free (m->availability_zone);
  g_free (m);
}

static void
report_change (struct membership *m, struct peer *peer)
{
  m->driver->ops->peer_changed (m->driver, peer);
}

static void
set_state (struct membership *m, struct peer *peer, enum peer_state state)
{
  if (peer->state == state)
    return;
  peer->state = state;
  if (!peer->is_local)
    m->must_choose_links = TRUE;
  report_change (m, peer);
}

static void
update_leaving (struct membership *m, struct peer *peer)
{
  gboolean is_leaving = peer->reports_leaving || peer->is_listed_leaving;

  if (peer->is_leaving == is_leaving)
    return;
  peer->is_leaving = is_leaving;
  report_change (m, peer);
}

static void
set_location (struct membership *m, struct peer *peer, const char *zone,
              const char *address)
{
  if (zone != NULL && g_strcmp0 (peer->availability_zone, zone) != 0)
    {
      g_free (peer->availability_zone);
      peer->availability_zone = g_strdup (zone);
      peer->is_local = g_str_equal (zone, m->availability_zone);
      m->must_choose_links = TRUE;
    }
  if (address != NULL && g_strcmp0 (peer->address, address) != 0)
    {
      g_free (peer->address);
      peer->address = g_strdup (address);
    }
}

static struct peer *
add_peer (struct membership *m, const char *name, gint64 now_us)
{
  struct peer *peer;

  if (m->peers->len >= MAX_PEERS)
    return NULL;
  peer = g_new0 (struct peer, 1);
  peer->name = g_strdup (name);
  peer->availability_zone = g_strdup ("");
  peer->name_hash = hash64_string (name);
  peer->state = PEER_UNHEARD;
  peer->heard_us = now_us;
  peer->heartbeat_due_us = now_us;
  peer->recheck_due_us = now_us;
  peer->n_introductions_left = N_INTRODUCTIONS;
  g_hash_table_insert (m->by_hash, &peer->name_hash, peer);
  g_ptr_array_add (m->peers, peer);
  m->must_choose_links = TRUE;
  return peer;
}

static void
forget_peer (struct membership *m, guint index)
{
  struct peer *peer = m->peers->pdata[index];

  m->driver->ops->peer_forgotten (m->driver, peer);
  g_ptr_array_remove_index (m->peers, index);
  g_hash_table_remove (m->by_hash, &peer->name_hash);
  m->must_choose_links = TRUE;
}

static struct peer *
find_by_hash (const struct membership *m, guint64 hash)
{
  return g_hash_table_lookup (m->by_hash, &hash);
}

struct peer *
membership_find (const struct membership *m, const char *name)
{
  struct peer *peer = find_by_hash (m, hash64_string (name));

  return peer != NULL && g_str_equal (peer->name, name) ? peer : NULL;
}

void
membership_foreach (const struct membership *m,
                    void (*visit) (struct peer *peer, gpointer data),
                    gpointer data)
{
  for (guint i = 0; i < m->peers->len; i++)
    visit (m->peers->pdata[i], data);
}

gboolean
membership_has_list (const struct membership *m)
{
  return m->has_list;
}

static void
apply_listed (struct membership *m, const struct listed_vm *vm, gint64 now_us)
{
  struct peer *peer;

  if (hash64_string (vm->name) == m->own_hash)
    return;
  peer = membership_find (m, vm->name);
  if (peer == NULL)
    peer = add_peer (m, vm->name, now_us);
  if (peer == NULL)
    return;
  peer->is_in_new_list = TRUE;
  /* The list lags: a live peer's own heartbeats take precedence.  */
  if (!peer_is_live (peer))
    set_location (m, peer, vm->availability_zone, vm->address);
  peer->is_listed_leaving = vm->is_leaving;
  update_leaving (m, peer);
}

void
membership_apply_list (struct membership *m, const struct listed_vm *vms,
                       guint n_vms, gint64 now_us)
{
  m->has_list = TRUE;
  for (guint i = 0; i < m->peers->len; i++)
    ((struct peer *)m->peers->pdata[i])->is_in_new_list = FALSE;
  for (guint i = 0; i < n_vms; i++)
    apply_listed (m, &vms[i], now_us);
  for (guint i = 0; i < m->peers->len; i++)
    {
      struct peer *peer = m->peers->pdata[i];

      if (peer->is_listed != peer->is_in_new_list)
        m->must_choose_links = TRUE;
      peer->is_listed = peer->is_in_new_list;
      peer->was_listed |= peer->is_listed;
      if (peer->was_listed && !peer->is_listed && peer->state == PEER_SILENT)
        set_state (m, peer, PEER_DEAD);
    }
}

static void
send_heartbeat (struct membership *m, struct peer *peer, gboolean wants_answer)
{
  struct membership_heartbeat heartbeat = {
    .wants_answer = wants_answer,
    .introduces = peer->n_introductions_left > 0 || !peer_is_live (peer),
    .chooses_link = peer->is_chosen,
  };

  if (peer->address == NULL)
    return;
  if (peer->n_introductions_left > 0)
    peer->n_introductions_left--;
  m->driver->ops->send_heartbeat (m->driver, peer, &heartbeat);
}

/* Cancels the checks under way: their results will be ignored.  */
static void
cancel_checks (struct peer *peer)
{
  peer->check_id++;
  peer->n_checks_pending = 0;
  peer->n_checks_refused = 0;
}

static void
mark_alive (struct membership *m, struct peer *peer, gint64 now_us)
{
  peer->heard_us = now_us;
  cancel_checks (peer);
  set_state (m, peer, PEER_ALIVE);
}

/* Resets the state that belongs to the peer's former incarnation.  */
static void
adopt_incarnation (struct membership *m, struct peer *peer,
                   guint64 incarnation, gint64 now_us)
{
  gboolean is_restart = peer->incarnation != 0;

  peer->incarnation = incarnation;
  peer->received_sequences = (struct replay_window){ 0 };
  peer->n_introductions_left = N_INTRODUCTIONS;
  peer->heartbeat_due_us = now_us;
  peer->reports_leaving = FALSE;
  peer->heard_us = now_us;
  cancel_checks (peer);
  if (is_restart)
    {
      peer->state = PEER_ALIVE;
      report_change (m, peer);
    }
}

/* The peer that sent HEARTBEAT, which is added if it is new and introduces
   itself.  NULL for this VM, an unknown sender, and one whose name does not
   match the sender's hash.  */
static struct peer *
find_sender (struct membership *m, const struct received_heartbeat *heartbeat,
             gint64 now_us)
{
  struct peer *peer = find_by_hash (m, heartbeat->sender_hash);

  if (heartbeat->sender_hash == m->own_hash)
    return NULL;
  if (heartbeat->name == NULL)
    return peer;
  if (hash64_string (heartbeat->name) != heartbeat->sender_hash)
    return NULL;
  if (peer == NULL)
    return add_peer (m, heartbeat->name, now_us);
  return g_str_equal (peer->name, heartbeat->name) ? peer : NULL;
}

struct peer *
membership_handle_heartbeat (struct membership *m,
                             const struct received_heartbeat *heartbeat,
                             gint64 now_us)
{
  struct peer *peer = find_sender (m, heartbeat, now_us);

  if (peer == NULL || heartbeat->incarnation < peer->incarnation)
    return NULL;
  if (heartbeat->incarnation > peer->incarnation)
    adopt_incarnation (m, peer, heartbeat->incarnation, now_us);
  if (!replay_window_accept (&peer->received_sequences, heartbeat->sequence))
    return NULL;
  if (heartbeat->name != NULL)
    set_location (m, peer, heartbeat->availability_zone, heartbeat->address);
  if (heartbeat->chooses_link)
    peer->peer_link_until_us = now_us + PEER_LINK_TTL_US;
  mark_alive (m, peer, now_us);
  peer->reports_leaving = heartbeat->is_leaving;
  update_leaving (m, peer);
  if (heartbeat->wants_answer)
    {
      if (heartbeat->name != NULL)
        peer->n_introductions_left = MAX (peer->n_introductions_left, 1);
      send_heartbeat (m, peer, FALSE);
    }
  return peer;
}

static void
start_check (struct membership *m, struct peer *peer, struct peer *via,
             gint64 deadline_us)
{
  peer->n_checks_pending++;
  m->driver->ops->check_peer (m->driver, peer, via, peer->check_id,
                              deadline_us);
}

/* A random alive peer that can check SUSPECT, from the suspect's zone if there
   is one, or NULL.  */
static struct peer *
choose_relay (struct membership *m, const struct peer *suspect)
{
  struct peer *best = NULL;
  guint offset;

  if (m->peers->len == 0)
    return NULL;
  offset = (guint)g_rand_int_range (m->random, 0, (gint32)m->peers->len);
  for (guint i = 0; i < m->peers->len; i++)
    {
      struct peer *peer = m->peers->pdata[(i + offset) % m->peers->len];

      if (peer == suspect || peer->state != PEER_ALIVE || !peer->is_linked)
        continue;
      if (g_str_equal (peer->availability_zone, suspect->availability_zone))
        return peer;
      best = best != NULL ? best : peer;
    }
  return best;
}

static void
suspect_peer (struct membership *m, struct peer *peer, gint64 now_us)
{
  struct peer *via = choose_relay (m, peer);

  cancel_checks (peer);
  set_state (m, peer, PEER_SUSPECT);
  start_check (m, peer, NULL, now_us + DIRECT_CHECK_TIMEOUT_US);
  if (via != NULL)
    start_check (m, peer, via, now_us + INDIRECT_CHECK_TIMEOUT_US);
}

void
membership_suspect_peer (struct membership *m, struct peer *peer,
                         gint64 now_us)
{
  if (peer->state == PEER_ALIVE)
    suspect_peer (m, peer, now_us);
}

/* All checks of PEER have failed: it is dead if its machine refused a
   connection or it has left the platform's list, and silent otherwise.  */
static void
conclude_checks (struct membership *m, struct peer *peer, gint64 now_us)
{
  gboolean is_gone
      = peer->n_checks_refused > 0 || (peer->was_listed && !peer->is_listed);

  cancel_checks (peer);
  peer->recheck_due_us
      = now_us
        + (peer->state == PEER_SUSPECT ? FIRST_RECHECK_DELAY_US
                                       : RECHECK_INTERVAL_US);
  if (is_gone)
    set_state (m, peer, PEER_DEAD);
  else if (peer->state == PEER_SUSPECT)
    set_state (m, peer, PEER_SILENT);
}

/*
 * If this process was paused, does not count the pause as silence of the peers
 * and cancels the checks that were under way, whose results mean nothing.
 */
static void
compensate_pause (struct membership *m, gint64 now_us)
{
  gint64 pause_us = now_us - m->last_tick_us - MEMBERSHIP_TICK_US;

  if (m->last_tick_us == 0 || pause_us <= PAUSE_THRESHOLD_US)
    return;
  m->last_tick_us = now_us;
  for (guint i = 0; i < m->peers->len; i++)
    {
      struct peer *peer = m->peers->pdata[i];

      peer->heard_us += pause_us;
      cancel_checks (peer);
      if (peer->state == PEER_SUSPECT)
        peer->state = PEER_ALIVE;
    }
}

void
membership_check_ended (struct membership *m, const char *name, guint check_id,
                        enum check_result result, guint64 incarnation,
                        gint64 now_us)
{
  struct peer *peer = membership_find (m, name);

  compensate_pause (m, now_us);
  if (peer == NULL || peer->check_id != check_id
      || peer->n_checks_pending == 0)
    return;
  if (result == CHECK_REACHED && incarnation >= peer->incarnation)
    {
      if (incarnation > peer->incarnation)
        adopt_incarnation (m, peer, incarnation, now_us);
      mark_alive (m, peer, now_us);
      return;
    }
  if (result == CHECK_REFUSED)
    peer->n_checks_refused++;
  if (--peer->n_checks_pending == 0)
    conclude_checks (m, peer, now_us);
}

static gint64
get_heartbeat_interval_us (const struct peer *peer)
{
  return peer->is_local ? ZONE_HEARTBEAT_INTERVAL_US
                        : REMOTE_HEARTBEAT_INTERVAL_US;
}

static void
schedule_heartbeat (struct membership *m, struct peer *peer, gint64 now_us)
{
  gint64 interval_us = get_heartbeat_interval_us (peer);
  gint64 jitter_us = g_rand_int_range (m->random, 0,
                                       (gint32)(interval_us / JITTER_DIVISOR));

  peer->heartbeat_due_us = now_us + interval_us - jitter_us;
}

/* Sends PEER, which is live, the heartbeat or probe that is due.  Makes it
   suspect when its heartbeats are overdue for too long.  */
static void
advance_live (struct membership *m, struct peer *peer, gint64 now_us)
{
  gint64 silence_us
      = now_us - peer->heard_us - get_heartbeat_interval_us (peer);

  if (peer->state == PEER_ALIVE && silence_us >= SUSPECT_AFTER_US)
    suspect_peer (m, peer, now_us);
  if (silence_us >= PROBE_AFTER_US)
    {
      if (peer->heartbeat_due_us > now_us + PROBE_INTERVAL_US)
        peer->heartbeat_due_us = now_us;
      if (peer->heartbeat_due_us > now_us)
        return;
      send_heartbeat (m, peer, TRUE);
      peer->heartbeat_due_us = now_us + PROBE_INTERVAL_US;
      return;
    }
  if (peer->heartbeat_due_us > now_us)
    return;
  send_heartbeat (m, peer, FALSE);
  schedule_heartbeat (m, peer, now_us);
}

/* Probes a peer that is not live, and checks it if it is silent, every
   RECHECK_INTERVAL_US.  */
static void
advance_unreachable (struct membership *m, struct peer *peer, gint64 now_us)
{
  if (peer->recheck_due_us > now_us)
    return;
  peer->recheck_due_us = now_us + RECHECK_INTERVAL_US;
  if (peer->state == PEER_DEAD && !peer->is_listed)
    return;
  send_heartbeat (m, peer, TRUE);
  if (peer->state == PEER_SILENT && peer->n_checks_pending == 0)
    start_check (m, peer, NULL, now_us + DIRECT_CHECK_TIMEOUT_US);
}

static gboolean
is_forgettable (const struct peer *peer, gint64 now_us)
{
  return !peer->is_listed && !peer_is_live (peer)
         && now_us - peer->heard_us > PEER_FORGET_AFTER_US;
}

void
membership_expedite_heartbeats (struct membership *m)
{
  for (guint i = 0; i < m->peers->len; i++)
    ((struct peer *)m->peers->pdata[i])->heartbeat_due_us = 0;
}

/* Updates whether PEER exchanges heartbeats with this VM.  Without them its
   state is not known, unless its process is gone.  */
static void
update_link (struct membership *m, struct peer *peer, gint64 now_us)
{
  peer->is_linked
      = peer->is_local || peer->is_chosen || peer->peer_link_until_us > now_us;
  if (!peer->is_linked && peer->state != PEER_DEAD)
    set_state (m, peer, PEER_UNHEARD);
}

void
membership_advance (struct membership *m, gint64 now_us)
{
  compensate_pause (m, now_us);
  m->last_tick_us = now_us;
  if (m->must_choose_links)
    membership_choose_links (m->peers, m->own_hash);
  m->must_choose_links = FALSE;
  for (guint i = m->peers->len; i > 0; i--)
    {
      struct peer *peer = m->peers->pdata[i - 1];

      update_link (m, peer, now_us);
      if (is_forgettable (peer, now_us))
        forget_peer (m, i - 1);
      else if (!peer->is_linked)
        continue;
      else if (peer_is_live (peer))
        advance_live (m, peer, now_us);
      else
        advance_unreachable (m, peer, now_us);
    }
}

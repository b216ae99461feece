#include "coordination/membership.h"

#include "base/hash64.h"
#include "coordination/membership_links.h"

/* Heartbeats that introduce this VM to a peer that may not know it.  */
#define INTRODUCTIONS 3

/* A tick that comes later than this follows a pause of this process.  */
#define LATE_TICK_US (3 * MEMBERSHIP_TICK_US)

/* Heartbeats are sent up to a twentieth of an interval early, at random, so
   that the peers do not stay in step.  */
#define JITTER_PARTS 20

struct membership
{
  struct membership_driver *driver;
  GRand *random;
  char *availability_zone;
  guint64 own_hash;
  guint64 own_incarnation;
  GHashTable *by_hash; /* struct peer.name_hash -> struct peer, owned */
  GPtrArray *peers;    /* the same, in the order in which they came */
  gint64 advanced_us;  /* the last tick */
  gboolean has_list;
  gboolean links_are_due;
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
    m->links_are_due = TRUE;
  report_change (m, peer);
}

static void
update_leaving (struct membership *m, struct peer *peer)
{
  gboolean is_leaving = peer->says_leaving || peer->is_listed_leaving;

  if (peer->is_leaving == is_leaving)
    return;
  peer->is_leaving = is_leaving;
  report_change (m, peer);
}

static void
set_place (struct membership *m, struct peer *peer, const char *zone,
           const char *address)
{
  if (zone != NULL && g_strcmp0 (peer->availability_zone, zone) != 0)
    {
      g_free (peer->availability_zone);
      peer->availability_zone = g_strdup (zone);
      peer->is_local = g_str_equal (zone, m->availability_zone);
      m->links_are_due = TRUE;
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
  peer->beat_due_us = now_us;
  peer->recheck_due_us = now_us;
  peer->introductions = INTRODUCTIONS;
  g_hash_table_insert (m->by_hash, &peer->name_hash, peer);
  g_ptr_array_add (m->peers, peer);
  m->links_are_due = TRUE;
  return peer;
}

static void
forget_peer (struct membership *m, guint index)
{
  struct peer *peer = m->peers->pdata[index];

  m->driver->ops->peer_forgotten (m->driver, peer);
  g_ptr_array_remove_index (m->peers, index);
  g_hash_table_remove (m->by_hash, &peer->name_hash);
  m->links_are_due = TRUE;
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
  peer->is_in_list = TRUE;
  /* What a live peer says of itself is fresher than the list.  */
  if (!peer_is_live (peer))
    set_place (m, peer, vm->availability_zone, vm->address);
  peer->is_listed_leaving = vm->is_leaving;
  update_leaving (m, peer);
}

void
membership_apply_list (struct membership *m, const struct listed_vm *vms,
                       guint n_vms, gint64 now_us)
{
  m->has_list = TRUE;
  for (guint i = 0; i < m->peers->len; i++)
    ((struct peer *)m->peers->pdata[i])->is_in_list = FALSE;
  for (guint i = 0; i < n_vms; i++)
    apply_listed (m, &vms[i], now_us);
  for (guint i = 0; i < m->peers->len; i++)
    {
      struct peer *peer = m->peers->pdata[i];

      if (peer->is_listed != peer->is_in_list)
        m->links_are_due = TRUE;
      peer->is_listed = peer->is_in_list;
      peer->was_listed |= peer->is_listed;
      if (peer->was_listed && !peer->is_listed && peer->state == PEER_SILENT)
        set_state (m, peer, PEER_DEAD);
    }
}

static void
send_heartbeat (struct membership *m, struct peer *peer, gboolean wants_answer)
{
  struct membership_heartbeat beat = {
    .wants_answer = wants_answer,
    .introduces = peer->introductions > 0 || !peer_is_live (peer),
    .chooses = peer->is_chosen,
  };

  if (peer->address == NULL)
    return;
  if (peer->introductions > 0)
    peer->introductions--;
  m->driver->ops->send_heartbeat (m->driver, peer, &beat);
}

/* Makes the answers to checks that are under way count no more.  */
static void
drop_checks (struct peer *peer)
{
  peer->check_id++;
  peer->checks_pending = 0;
  peer->checks_refused = 0;
}

static void
note_alive (struct membership *m, struct peer *peer, gint64 now_us)
{
  peer->heard_us = now_us;
  drop_checks (peer);
  set_state (m, peer, PEER_ALIVE);
}

/* Replaces what is known of the peer's former process.  */
static void
adopt_incarnation (struct membership *m, struct peer *peer,
                   guint64 incarnation, gint64 now_us)
{
  gboolean is_restart = peer->incarnation != 0;

  peer->incarnation = incarnation;
  peer->heard = (struct replay_window){ 0 };
  peer->introductions = INTRODUCTIONS;
  peer->beat_due_us = now_us;
  peer->says_leaving = FALSE;
  peer->heard_us = now_us;
  drop_checks (peer);
  if (is_restart)
    {
      peer->state = PEER_ALIVE;
      report_change (m, peer);
    }
}

static struct peer *
find_sender (struct membership *m, const struct received_heartbeat *beat,
             gint64 now_us)
{
  struct peer *peer = find_by_hash (m, beat->sender);

  if (beat->sender == m->own_hash)
    return NULL;
  if (beat->name == NULL)
    return peer;
  if (hash64_string (beat->name) != beat->sender)
    return NULL;
  if (peer == NULL)
    return add_peer (m, beat->name, now_us);
  return g_str_equal (peer->name, beat->name) ? peer : NULL;
}

struct peer *
membership_handle_heartbeat (struct membership *m,
                             const struct received_heartbeat *beat,
                             gint64 now_us)
{
  struct peer *peer = find_sender (m, beat, now_us);

  if (peer == NULL || beat->incarnation < peer->incarnation)
    return NULL;
  if (beat->incarnation > peer->incarnation)
    adopt_incarnation (m, peer, beat->incarnation, now_us);
  if (!replay_window_accept (&peer->heard, beat->sequence))
    return NULL;
  if (beat->name != NULL)
    set_place (m, peer, beat->availability_zone, beat->address);
  if (beat->chooses)
    peer->chosen_by_us = now_us + CHOSEN_BY_US;
  note_alive (m, peer, now_us);
  peer->says_leaving = beat->is_leaving;
  update_leaving (m, peer);
  if (beat->wants_answer)
    {
      if (beat->name != NULL)
        peer->introductions = MAX (peer->introductions, 1);
      send_heartbeat (m, peer, FALSE);
    }
  return peer;
}

static void
start_check (struct membership *m, struct peer *peer, struct peer *via,
             gint64 deadline_us)
{
  peer->checks_pending++;
  m->driver->ops->check_peer (m->driver, peer, via, peer->check_id,
                              deadline_us);
}

/* Another live peer, of the suspect's zone when there is one.  */
static struct peer *
choose_via (struct membership *m, const struct peer *suspect)
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
  struct peer *via = choose_via (m, peer);

  drop_checks (peer);
  set_state (m, peer, PEER_SUSPECT);
  start_check (m, peer, NULL, now_us + DIRECT_CHECK_TIMEOUT_US);
  if (via != NULL)
    start_check (m, peer, via, now_us + INDIRECT_CHECK_US);
}

void
membership_suspect_peer (struct membership *m, struct peer *peer,
                         gint64 now_us)
{
  if (peer->state == PEER_ALIVE)
    suspect_peer (m, peer, now_us);
}

/* No path has answered.  */
static void
give_up (struct membership *m, struct peer *peer, gint64 now_us)
{
  gboolean is_gone
      = peer->checks_refused > 0 || (peer->was_listed && !peer->is_listed);

  drop_checks (peer);
  peer->recheck_due_us
      = now_us + (peer->state == PEER_SUSPECT ? FIRST_RECHECK_US : RECHECK_US);
  if (is_gone)
    set_state (m, peer, PEER_DEAD);
  else if (peer->state == PEER_SUSPECT)
    set_state (m, peer, PEER_SILENT);
}

/*
 * What passed while this process did not run is no silence of the peers, and
 * the checks that were under way tell nothing.
 */
static void
excuse_pause (struct membership *m, gint64 now_us)
{
  gint64 late_us = now_us - m->advanced_us - MEMBERSHIP_TICK_US;

  if (m->advanced_us == 0 || late_us <= LATE_TICK_US)
    return;
  m->advanced_us = now_us;
  for (guint i = 0; i < m->peers->len; i++)
    {
      struct peer *peer = m->peers->pdata[i];

      peer->heard_us += late_us;
      drop_checks (peer);
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

  excuse_pause (m, now_us);
  if (peer == NULL || peer->check_id != check_id || peer->checks_pending == 0)
    return;
  if (result == CHECK_REACHED && incarnation >= peer->incarnation)
    {
      if (incarnation > peer->incarnation)
        adopt_incarnation (m, peer, incarnation, now_us);
      note_alive (m, peer, now_us);
      return;
    }
  if (result == CHECK_REFUSED)
    peer->checks_refused++;
  if (--peer->checks_pending == 0)
    give_up (m, peer, now_us);
}

static gint64
beat_interval (const struct peer *peer)
{
  return peer->is_local ? ZONE_BEAT_US : REMOTE_BEAT_US;
}

static void
schedule_beat (struct membership *m, struct peer *peer, gint64 now_us)
{
  gint64 interval_us = beat_interval (peer);
  gint64 jitter_us
      = g_rand_int_range (m->random, 0, (gint32)(interval_us / JITTER_PARTS));

  peer->beat_due_us = now_us + interval_us - jitter_us;
}

static void
advance_live (struct membership *m, struct peer *peer, gint64 now_us)
{
  gint64 silence_us = now_us - peer->heard_us - beat_interval (peer);

  if (peer->state == PEER_ALIVE && silence_us >= SUSPECT_AFTER_US)
    suspect_peer (m, peer, now_us);
  if (silence_us >= PROBE_AFTER_US)
    {
      if (peer->beat_due_us > now_us + PROBE_INTERVAL_US)
        peer->beat_due_us = now_us;
      if (peer->beat_due_us > now_us)
        return;
      send_heartbeat (m, peer, TRUE);
      peer->beat_due_us = now_us + PROBE_INTERVAL_US;
      return;
    }
  if (peer->beat_due_us > now_us)
    return;
  send_heartbeat (m, peer, FALSE);
  schedule_beat (m, peer, now_us);
}

/* A peer that is not live gets a heartbeat, and a check, now and then.  */
static void
advance_absent (struct membership *m, struct peer *peer, gint64 now_us)
{
  if (peer->recheck_due_us > now_us)
    return;
  peer->recheck_due_us = now_us + RECHECK_US;
  if (peer->state == PEER_DEAD && !peer->is_listed)
    return;
  send_heartbeat (m, peer, TRUE);
  if (peer->state == PEER_SILENT && peer->checks_pending == 0)
    start_check (m, peer, NULL, now_us + DIRECT_CHECK_TIMEOUT_US);
}

static gboolean
is_forgettable (const struct peer *peer, gint64 now_us)
{
  return !peer->is_listed && !peer_is_live (peer)
         && now_us - peer->heard_us > FORGET_PEER_US;
}

void
membership_expedite_heartbeats (struct membership *m)
{
  for (guint i = 0; i < m->peers->len; i++)
    ((struct peer *)m->peers->pdata[i])->beat_due_us = 0;
}

/* A peer that exchanges no heartbeats any more is neither live nor not.  */
static void
update_link (struct membership *m, struct peer *peer, gint64 now_us)
{
  peer->is_linked
      = peer->is_local || peer->is_chosen || peer->chosen_by_us > now_us;
  if (!peer->is_linked && peer->state != PEER_DEAD)
    set_state (m, peer, PEER_UNHEARD);
}

void
membership_advance (struct membership *m, gint64 now_us)
{
  excuse_pause (m, now_us);
  m->advanced_us = now_us;
  if (m->links_are_due)
    choose_links (m->peers, m->own_hash);
  m->links_are_due = FALSE;
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
        advance_absent (m, peer, now_us);
    }
}

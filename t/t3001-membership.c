/*
 * Membership on a simulated network: a fake clock, seeded loss, no I/O.
 */
#include "base/hash64.h"
#include "coordination/membership.h"

#include <string.h>

#define MAX_NODES 1280
#define STEP_US (10 * USEC_PER_MSEC)
#define SECOND_US USEC_PER_SEC

struct network;

struct node
{
  struct membership_driver driver;
  struct network *network;
  char name[32];
  char zone[32];
  guint64 incarnation;
  guint32 sequence;
  struct membership *membership;
  gboolean is_killed;
  gboolean is_removed; /* machine and all */
  gboolean is_leaving;
  gint64 paused_until_us;
  gint64 tick_due_us;
  guint beats_sent;
};

struct message
{
  gint64 due_us;
  struct node *to;
  gboolean is_check_result;
  struct received_heartbeat beat;
  const struct node *from;
  char subject[32];
  guint check_id;
  enum check_result result;
  guint64 incarnation;
};

struct network
{
  gint64 now_us;
  GRand *random;
  gdouble loss;
  guint n_nodes;
  struct node *nodes;
  GQueue *messages;   /* struct message, by due_us as all delays are alike */
  GQueue *checks;     /* the same for results of checks */
  guint false_alarms; /* a live peer that was taken for silent or dead */
  gboolean (*is_cut) (const struct node *a, const struct node *b);
};

static struct node *
node_of (struct membership_driver *driver)
{
  return (struct node *)(void *)driver;
}

static struct node *
find_node (struct network *net, const char *name)
{
  return &net->nodes[g_ascii_strtoull (strrchr (name, '-') + 1, NULL, 10)];
}

static gboolean
is_running (const struct node *node)
{
  return !node->is_killed && node->paused_until_us <= node->network->now_us;
}

static gboolean
is_connected (const struct node *a, const struct node *b)
{
  return a->network->is_cut == NULL || !a->network->is_cut (a, b);
}

static gboolean
is_lost (struct network *net)
{
  return g_rand_double (net->random) < net->loss;
}

static void
send_heartbeat (struct membership_driver *driver, struct peer *peer,
                const struct membership_heartbeat *beat)
{
  struct node *node = node_of (driver);
  struct node *to = find_node (node->network, peer->name);
  struct message *message;

  node->beats_sent++;
  node->sequence++;
  if (is_lost (node->network) || !is_connected (node, to))
    return;
  message = g_new0 (struct message, 1);
  message->due_us = node->network->now_us + USEC_PER_MSEC;
  message->to = to;
  message->from = node;
  message->beat = (struct received_heartbeat){
    .sender_hash = hash64_string (node->name),
    .incarnation = node->incarnation,
    .sequence = node->sequence,
    .is_leaving = node->is_leaving,
    .wants_answer = beat->wants_answer,
    .chooses_link = beat->chooses_link,
    .name = beat->introduces ? node->name : NULL,
    .availability_zone = node->zone,
    .address = node->name,
  };
  g_queue_push_tail (node->network->messages, message);
}

/* A handshake and a call: five segments, any of which may be lost.  */
static enum check_result
try_connection (const struct node *from, const struct node *to)
{
  for (guint i = 0; i < 5; i++)
    if (is_lost (from->network))
      return CHECK_UNANSWERED;
  if (to->is_removed || !is_connected (from, to))
    return CHECK_UNANSWERED;
  if (to->is_killed)
    return CHECK_REFUSED;
  return is_running (to) ? CHECK_REACHED : CHECK_UNANSWERED;
}

static void
check_peer (struct membership_driver *driver, struct peer *peer,
            struct peer *via, guint check_id, gint64 deadline_us)
{
  struct node *node = node_of (driver);
  struct network *net = node->network;
  struct node *target = find_node (net, peer->name);
  struct node *prober = via != NULL ? find_node (net, via->name) : node;
  struct message *message = g_new0 (struct message, 1);

  message->result = CHECK_REACHED;
  if (via != NULL)
    message->result = try_connection (node, prober);
  if (message->result == CHECK_REACHED)
    message->result = try_connection (prober, target);
  else
    message->result = CHECK_UNANSWERED;
  message->is_check_result = TRUE;
  message->to = node;
  message->check_id = check_id;
  message->incarnation = target->incarnation;
  g_strlcpy (message->subject, peer->name, sizeof message->subject);
  message->due_us = message->result == CHECK_UNANSWERED
                        ? deadline_us
                        : net->now_us + 2 * USEC_PER_MSEC;
  g_queue_push_tail (net->checks, message);
}

static void
peer_changed (struct membership_driver *driver, struct peer *peer)
{
  struct network *net = node_of (driver)->network;
  struct node *subject = find_node (net, peer->name);

  if (peer->state != PEER_SILENT && peer->state != PEER_DEAD)
    return;
  if (!subject->is_killed && net->is_cut == NULL
      && subject->paused_until_us + SECOND_US < net->now_us)
    net->false_alarms++;
}

static void
peer_forgotten (struct membership_driver *driver, struct peer *peer)
{
}

static const struct membership_driver_ops driver_ops = {
  .send_heartbeat = send_heartbeat,
  .check_peer = check_peer,
  .peer_changed = peer_changed,
  .peer_forgotten = peer_forgotten,
};

static void
boot_node (struct node *node, guint64 incarnation)
{
  struct membership_config config
      = { node->name, node->zone, incarnation, (guint32)incarnation };

  if (node->membership != NULL)
    membership_free (node->membership);
  node->driver.ops = &driver_ops;
  node->incarnation = incarnation;
  node->sequence = 0;
  node->is_killed = FALSE;
  node->is_leaving = FALSE;
  node->membership = membership_new (&node->driver, &config);
}

static void
apply_list (struct network *net, struct node *node)
{
  struct listed_vm *vms = g_new0 (struct listed_vm, net->n_nodes);
  guint n = 0;

  for (guint i = 0; i < net->n_nodes; i++)
    if (!net->nodes[i].is_removed)
      vms[n++] = (struct listed_vm){ net->nodes[i].name, net->nodes[i].zone,
                                     net->nodes[i].name, FALSE };
  membership_apply_list (node->membership, vms, n, net->now_us);
  g_free (vms);
}

static struct network *
network_new (guint n_zones, guint per_zone, gdouble loss, guint32 seed)
{
  struct network *net = g_new0 (struct network, 1);

  net->now_us = 1000 * SECOND_US;
  net->random = g_rand_new_with_seed (seed);
  net->loss = loss;
  net->n_nodes = n_zones * per_zone;
  net->nodes = g_new0 (struct node, net->n_nodes);
  net->messages = g_queue_new ();
  net->checks = g_queue_new ();
  for (guint i = 0; i < net->n_nodes; i++)
    {
      struct node *node = &net->nodes[i];

      node->network = net;
      g_snprintf (node->name, sizeof node->name, "entry-%u", i);
      g_snprintf (node->zone, sizeof node->zone, "zone-%u", i / per_zone);
      node->tick_due_us = net->now_us + (i % 5) * STEP_US;
      boot_node (node, i + 1);
    }
  for (guint i = 0; i < net->n_nodes; i++)
    apply_list (net, &net->nodes[i]);
  return net;
}

static void
network_free (struct network *net)
{
  for (guint i = 0; i < net->n_nodes; i++)
    membership_free (net->nodes[i].membership);
  g_queue_free_full (net->messages, g_free);
  g_queue_free_full (net->checks, g_free);
  g_rand_free (net->random);
  g_free (net->nodes);
  g_free (net);
}

static void
deliver (struct network *net, struct message *message)
{
  struct node *to = message->to;

  if (to->is_killed)
    return;
  if (message->is_check_result)
    membership_check_ended (to->membership, message->subject,
                            message->check_id, message->result,
                            message->incarnation, net->now_us);
  else
    membership_handle_heartbeat (to->membership, &message->beat, net->now_us);
}

/* Delivers what is due; what is for a paused node stays in its order.  */
static void
deliver_due (struct network *net, GQueue *queue)
{
  guint n = g_queue_get_length (queue);

  for (guint i = 0; i < n; i++)
    {
      struct message *message = g_queue_pop_head (queue);

      if (message->due_us > net->now_us
          || (!message->to->is_killed && !is_running (message->to)))
        {
          g_queue_push_tail (queue, message);
          continue;
        }
      deliver (net, message);
      g_free (message);
    }
}

static void
run (struct network *net, gint64 duration_us)
{
  gint64 end_us = net->now_us + duration_us;

  while (net->now_us < end_us)
    {
      net->now_us += STEP_US;
      for (guint i = 0; i < net->n_nodes; i++)
        {
          struct node *node = &net->nodes[i];

          if (!is_running (node) || node->tick_due_us > net->now_us)
            continue;
          node->tick_due_us = net->now_us + MEMBERSHIP_TICK_US;
          membership_advance (node->membership, net->now_us);
        }
      deliver_due (net, net->messages);
      deliver_due (net, net->checks);
    }
}

static struct peer *
peer_at (struct network *net, guint viewer, guint subject)
{
  return membership_find (net->nodes[viewer].membership,
                          net->nodes[subject].name);
}

/* How many nodes of the subject's zone see it in STATE.  */
static guint
count_views (struct network *net, guint subject, enum peer_state state)
{
  guint n = 0;

  for (guint i = 0; i < net->n_nodes; i++)
    if (i != subject && !net->nodes[i].is_killed
        && g_str_equal (net->nodes[i].zone, net->nodes[subject].zone)
        && peer_at (net, i, subject)->state == state)
      n++;
  return n;
}

static void
test_no_false_death (void)
{
  struct network *net = network_new (1, 12, 0.05, 7);
  GRand *random = g_rand_new_with_seed (8);

  for (guint second = 0; second < 600; second++)
    {
      struct node *node = &net->nodes[g_rand_int_range (random, 0, 12)];

      node->paused_until_us = net->now_us + 200 * USEC_PER_MSEC;
      run (net, SECOND_US);
    }
  g_assert_cmpuint (net->false_alarms, ==, 0);
  for (guint i = 0; i < 12; i++)
    g_assert_cmpuint (count_views (net, i, PEER_ALIVE)
                          + count_views (net, i, PEER_SUSPECT),
                      ==, 11);
  g_rand_free (random);
  network_free (net);
}

/* Whatever the phase of the heartbeats, with losses.  */
static void
test_killed_is_known (void)
{
  for (guint32 seed = 1; seed <= 20; seed++)
    {
      struct network *net = network_new (1, 12, 0.05, seed);

      run (net, 5 * SECOND_US + seed * 30 * USEC_PER_MSEC);
      net->nodes[3].is_killed = TRUE;
      run (net, 2 * SECOND_US);
      g_assert_cmpuint (count_views (net, 3, PEER_DEAD)
                            + count_views (net, 3, PEER_SILENT),
                        ==, 11);
      run (net, 30 * SECOND_US);
      g_assert_cmpuint (count_views (net, 3, PEER_DEAD), ==, 11);
      network_free (net);
    }
}

/* A machine that is gone refuses nothing: silent, then dead by the list.  */
static void
test_machine_gone (void)
{
  struct network *net = network_new (1, 6, 0, 1);

  run (net, 5 * SECOND_US);
  net->nodes[2].is_killed = TRUE;
  net->nodes[2].is_removed = TRUE;
  run (net, 2 * SECOND_US);
  g_assert_cmpuint (count_views (net, 2, PEER_SILENT), ==, 5);
  for (guint i = 0; i < 6; i++)
    apply_list (net, &net->nodes[i]);
  g_assert_cmpuint (count_views (net, 2, PEER_DEAD), ==, 5);
  network_free (net);
}

static void
test_paused_comes_back (void)
{
  struct network *net = network_new (1, 6, 0, 1);
  guint64 incarnation;

  run (net, 5 * SECOND_US);
  incarnation = peer_at (net, 0, 2)->incarnation;
  net->nodes[2].paused_until_us = net->now_us + 20 * SECOND_US;
  run (net, 10 * SECOND_US);
  g_assert_cmpuint (count_views (net, 2, PEER_SILENT), ==, 5);
  run (net, 13 * SECOND_US);
  g_assert_cmpuint (count_views (net, 2, PEER_ALIVE), ==, 5);
  g_assert_cmpuint (peer_at (net, 0, 2)->incarnation, ==, incarnation);
  /* It takes its own pause for no silence of the others.  */
  for (guint i = 0; i < 6; i++)
    if (i != 2)
      g_assert_true (peer_is_live (peer_at (net, 2, i)));
  network_free (net);
}

static void
test_restart_replaces (void)
{
  struct network *net = network_new (1, 6, 0, 1);
  struct received_heartbeat old = { 0 };

  run (net, 5 * SECOND_US);
  net->nodes[2].is_killed = TRUE;
  run (net, 200 * USEC_PER_MSEC);
  boot_node (&net->nodes[2], 1000);
  apply_list (net, &net->nodes[2]);
  run (net, SECOND_US);
  g_assert_cmpuint (count_views (net, 2, PEER_ALIVE), ==, 5);
  g_assert_cmpuint (peer_at (net, 0, 2)->incarnation, ==, 1000);
  old.sender_hash = hash64_string (net->nodes[2].name);
  old.incarnation = 3;
  old.sequence = 100000;
  g_assert_null (membership_handle_heartbeat (net->nodes[0].membership, &old,
                                              net->now_us));
  old.incarnation = 1000;
  old.sequence = net->nodes[2].sequence;
  membership_handle_heartbeat (net->nodes[0].membership, &old, net->now_us);
  g_assert_null (membership_handle_heartbeat (net->nodes[0].membership, &old,
                                              net->now_us));
  network_free (net);
}

static void
test_leaving_spreads (void)
{
  struct network *net = network_new (1, 6, 0, 1);

  run (net, 5 * SECOND_US);
  net->nodes[2].is_leaving = TRUE;
  membership_expedite_heartbeats (net->nodes[2].membership);
  run (net, 100 * USEC_PER_MSEC);
  for (guint i = 0; i < 6; i++)
    if (i != 2)
      g_assert_true (peer_at (net, i, 2)->is_leaving);
  network_free (net);
}

/* Half of the nodes cannot reach the other half.  */
static gboolean
cut_in_halves (const struct node *a, const struct node *b)
{
  guint half = a->network->n_nodes / 2;

  return (a < a->network->nodes + half) != (b < b->network->nodes + half);
}

static void
test_partition_heals (void)
{
  struct network *net = network_new (1, 6, 0, 1);

  run (net, 5 * SECOND_US);
  net->is_cut = cut_in_halves;
  run (net, 10 * SECOND_US);
  g_assert_cmpuint (count_views (net, 0, PEER_SILENT), ==, 3);
  g_assert_cmpuint (count_views (net, 0, PEER_DEAD), ==, 0);
  net->is_cut = NULL;
  run (net, 5 * SECOND_US);
  g_assert_cmpuint (count_views (net, 0, PEER_ALIVE), ==, 5);
  network_free (net);
}

static void
count_linked (struct peer *peer, gpointer data)
{
  guint *n = data;

  if (peer->is_linked)
    (*n)++;
}

static void
note_zone (struct peer *peer, gpointer data)
{
  GHashTable *zones = data;

  if (peer->is_linked)
    g_hash_table_add (zones, peer->availability_zone);
}

/* Walks from zone to zone over links.  */
static guint
count_connected_zones (struct network *net)
{
  g_autoptr (GHashTable) zones = g_hash_table_new (g_str_hash, g_str_equal);
  guint before;

  g_hash_table_add (zones, net->nodes[0].zone);
  do
    {
      before = g_hash_table_size (zones);
      for (guint i = 0; i < net->n_nodes; i++)
        if (g_hash_table_contains (zones, net->nodes[i].zone))
          membership_foreach (net->nodes[i].membership, note_zone, zones);
    }
  while (g_hash_table_size (zones) > before);
  return g_hash_table_size (zones);
}

/* The heartbeats that a VM sends in ten seconds, with that many zones.  */
static guint
count_beats (guint n_zones)
{
  struct network *net = network_new (n_zones, 6, 0, 1);
  guint most = 0;
  guint beats = 0;

  run (net, 10 * SECOND_US);
  for (guint i = 0; i < net->n_nodes; i++)
    {
      guint n = 0;

      beats += net->nodes[i].beats_sent;
      membership_foreach (net->nodes[i].membership, count_linked, &n);
      most = MAX (most, n);
    }
  g_assert_cmpuint (count_connected_zones (net), ==, n_zones);
  g_assert_cmpuint (most, <=, 5 + 5 * N_REMOTE_LINKS);
  network_free (net);
  return beats / (6 * n_zones);
}

/* Twice the zones cost no more, and every zone is connected.  */
static void
test_many_zones (void)
{
  guint few = count_beats (15);
  guint many = count_beats (30);

  g_assert_cmpuint (many, <=, few + few / 10);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/membership/no-false-death", test_no_false_death);
  g_test_add_func ("/membership/killed-is-known", test_killed_is_known);
  g_test_add_func ("/membership/machine-gone", test_machine_gone);
  g_test_add_func ("/membership/paused-comes-back", test_paused_comes_back);
  g_test_add_func ("/membership/restart-replaces", test_restart_replaces);
  g_test_add_func ("/membership/leaving-spreads", test_leaving_spreads);
  g_test_add_func ("/membership/partition-heals", test_partition_heals);
  g_test_add_func ("/membership/many-zones", test_many_zones);
  return g_test_run ();
}

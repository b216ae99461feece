/*
 * Who owns which shards: single decisions, and many VMs that share one
 * assignment while VMs die, freeze, are cut off, come back and leave; the same
 * with shards divided by the VMs' capacities.
 */
#include "coordination/ownership.h"

#include "base/clock.h"

#include <stdlib.h>

#define N_VMS 9 /* at most */
#define N_SHARDS 24
#define RANDOM_VMS 7
#define TICK_US (10 * USEC_PER_MSEC)
#define BEAT_US (50 * USEC_PER_MSEC)
#define POLL_US (400 * USEC_PER_MSEC)
#define TTL_US (3 * USEC_PER_SEC)
#define MAX_DELAY_US (30 * USEC_PER_MSEC)
#define CALM_US (15 * USEC_PER_SEC)
#define CAPACITY_CALM_US (40 * USEC_PER_SEC)
#define MAX_RAISES 20
#define N_SEEDS 60

/* Lives of a VM within OWNERSHIP_PEER_TIMEOUT_US, at most.  */
#define N_LIVES 4

#define N_TICKS 6000

struct zone;

/* What a VM has heard of a life of another one.  */
struct heard
{
  guint64 held;
  gint64 when_us;
};

struct vm
{
  struct ownership_driver driver;
  struct ownership *ownership;
  struct zone *zone;
  char name[32];
  guint number;
  guint n_lives;
  gboolean is_up;
  gboolean is_leaving;
  gint64 frozen_until_us;
  gint64 cut_until_us;   /* from its peers */
  gint64 apart_until_us; /* from the platform */
  gint64 woken_us;
  gint64 beat_due_us;
  gint64 advance_due_us;
  gint64 poll_due_us;
  gint64 joined_us; /* when the platform last saw it; 0 for never */
  guint64 assigned; /* as it was told */
  guint64 generation;
  guint64 releasing;
  guint64 may_release; /* shards that it may give up in this call */
  guint64 granted;     /* shards that peers have yielded to it */
  guint64 tokens[N_SHARDS];
  gint64 asked_us[N_SHARDS];
  gint64 released_due_us[N_SHARDS];
  struct heard heard[N_VMS][N_LIVES]; /* by the number of the life */
};

enum message_kind
{
  MESSAGE_BEAT,
  MESSAGE_ASK,
  MESSAGE_REPLY, /* to an ask; only where shards are divided by capacity */
};

struct message
{
  enum message_kind kind;
  guint from;
  guint to;
  guint life;
  char name[32];
  gint64 due_us;
  guint64 held;
  guint n_held;
  guint shard;
  gboolean is_leaving;
  guint capacity;
  gboolean is_granted;
};

struct zone
{
  struct vm vms[N_VMS];
  guint n_vms;
  guint n_shards;
  gint64 max_run_us; /* how long a release takes at most */
  gboolean is_by_capacity;
  gboolean is_mixed;       /* VMs that divide evenly may ask in vain again and
                              again */
  guint capacities[N_VMS]; /* 0: that VM divides the shards evenly */
  gint64 news_from_us;     /* beacons tell no capacity before this time */
  guint n_overlaps;        /* shards taken while another VM held them */
  gint64 max_free_us;      /* between a release and the next take */
  gint64 released_us[N_SHARDS];
  GRand *random;
  GArray *messages;
  GHashTable *users; /* token -> name of the VM that used it */
  gint64 now_us;
  guint64 generation;
  guint owners[N_SHARDS]; /* by the platform; N_VMS for nobody */
  guint64 listed;         /* VMs that the platform has dealt to */
  guint64 seen[N_SHARDS]; /* the highest token that upstreams obey */
  guint64 taken[N_SHARDS];
  guint64 taken_generation[N_SHARDS];
  guint n_asks;
  guint n_takes;
};

static guint64
bit (guint n)
{
  return G_GUINT64_CONSTANT (1) << n;
}

static guint
count_bits (guint64 bits)
{
  guint n = 0;

  for (; bits != 0; bits &= bits - 1)
    n++;
  return n;
}

static gboolean
draw (struct zone *z, guint n)
{
  return g_rand_int_range (z->random, 0, (gint32)n) == 0;
}

static gint64
draw_us (struct zone *z, gint64 max_us)
{
  return g_rand_int_range (z->random, 0, (gint32)max_us);
}

static gboolean
is_awake (const struct vm *vm)
{
  return vm->is_up && vm->zone->now_us >= vm->frozen_until_us;
}

/* Whether VM, just woken, may still count on what it heard before.  */
static gboolean
is_just_woken (const struct vm *vm)
{
  return vm->woken_us != 0
         && vm->woken_us + OWNERSHIP_PEER_TIMEOUT_US > vm->zone->now_us;
}

/* The VM that VM hears holding SHARD, or NULL.  */
static const struct vm *
find_heard_holder (const struct vm *vm, guint shard)
{
  struct zone *z = vm->zone;

  for (guint i = 0; i < N_LIVES * N_VMS; i++)
    {
      const struct heard *heard = &vm->heard[i / N_LIVES][i % N_LIVES];

      if (i / N_LIVES != vm->number && (heard->held & bit (shard)) != 0
          && heard->when_us + OWNERSHIP_PEER_TIMEOUT_US > z->now_us)
        return &z->vms[i / N_LIVES];
    }
  return NULL;
}

static gboolean is_held_elsewhere (const struct vm *vm, guint shard);

static void
note_token (struct vm *vm, guint shard, guint64 token)
{
  const char *user = g_hash_table_lookup (vm->zone->users, &token);

  if (user != NULL && !g_str_equal (user, vm->name))
    g_error ("%s uses token %" G_GINT64_MODIFIER "x of %s", vm->name, token,
             user);
  if (user == NULL)
    g_hash_table_insert (vm->zone->users, g_memdup2 (&token, sizeof token),
                         g_strdup (vm->name));
  vm->tokens[shard] = token;
}

static void
zone_take (struct ownership_driver *driver, guint shard, guint64 token)
{
  struct vm *vm = (struct vm *)driver;
  struct zone *z = vm->zone;

  g_assert_true (is_awake (vm));
  g_assert_false (vm->is_leaving);
  g_assert_cmpuint ((vm->assigned | vm->granted) & bit (shard), !=, 0);
  g_assert_null (find_heard_holder (vm, shard));
  vm->granted &= ~bit (shard);
  z->n_overlaps += is_held_elsewhere (vm, shard) ? 1 : 0;
  if (z->released_us[shard] != 0)
    z->max_free_us = MAX (z->max_free_us, z->now_us - z->released_us[shard]);
  if (vm->generation > z->taken_generation[shard])
    g_assert_cmpuint (token, >, z->taken[shard]);
  if (vm->tokens[shard] != 0)
    g_assert_cmpuint (token, >, vm->tokens[shard]);
  if (vm->generation >= z->taken_generation[shard])
    {
      z->taken[shard] = token;
      z->taken_generation[shard] = vm->generation;
    }
  note_token (vm, shard, token);
  z->n_takes++;
}

static void
zone_release (struct ownership_driver *driver, guint shard)
{
  struct vm *vm = (struct vm *)driver;

  g_assert_cmpuint (vm->releasing & bit (shard), ==, 0);
  if ((vm->may_release & bit (shard)) == 0)
    {
      g_assert_cmpuint (vm->assigned & bit (shard), ==, 0);
      if (!is_just_woken (vm))
        g_assert_nonnull (find_heard_holder (vm, shard));
    }
  vm->releasing |= bit (shard);
  vm->released_due_us[shard]
      = vm->zone->now_us + draw_us (vm->zone, vm->zone->max_run_us);
}

static void
zone_ask (struct ownership_driver *driver, const char *peer, guint shard)
{
  struct vm *vm = (struct vm *)driver;
  struct zone *z = vm->zone;
  struct message message = { MESSAGE_ASK, vm->number };

  g_assert_true (is_awake (vm));
  if (z->capacities[vm->number] == 0)
    g_assert_cmpuint (vm->assigned & bit (shard), !=, 0);
  if (!is_just_woken (vm))
    g_assert_nonnull (find_heard_holder (vm, shard));
  if (vm->asked_us[shard] != 0)
    g_assert_cmpint (z->now_us - vm->asked_us[shard], >=,
                     OWNERSHIP_YIELD_RETRY_US);
  vm->asked_us[shard] = z->now_us;
  z->n_asks++;
  for (guint i = 0; i < N_VMS; i++)
    if (g_str_equal (z->vms[i].name, peer))
      {
        message.to = i;
        message.shard = shard;
        message.n_held = ownership_count_claimed (vm->ownership);
        message.due_us = z->now_us + draw_us (z, MAX_DELAY_US);
        g_strlcpy (message.name, vm->name, sizeof message.name);
        g_array_append_val (z->messages, message);
      }
}

static const struct ownership_driver_ops zone_ops
    = { zone_take, zone_release, zone_ask };

static void
set_capacity (struct vm *vm, guint capacity)
{
  vm->zone->capacities[vm->number] = capacity;
  if (vm->is_up)
    ownership_set_capacity (vm->ownership, capacity, vm->zone->now_us);
}

/* Lets VM begin a new life, which peers hear under a new name.  */
static void
begin_life (struct vm *vm)
{
  struct zone *z = vm->zone;
  guint number = vm->number;
  guint n_lives = vm->n_lives + 1;

  *vm = (struct vm){ .zone = z, .number = number, .n_lives = n_lives };
  g_snprintf (vm->name, sizeof vm->name, "vm-%u-%u", number, n_lives);
  vm->driver.ops = &zone_ops;
  vm->ownership = ownership_new (&vm->driver, vm->name);
  vm->is_up = TRUE;
  if (z->capacities[number] != 0)
    {
      ownership_share_by_capacity (vm->ownership);
      set_capacity (vm, z->capacities[number]);
    }
  vm->beat_due_us = z->now_us + draw_us (z, BEAT_US);
  vm->poll_due_us = z->now_us + draw_us (z, POLL_US);
}

/* Ends a life; its messages that are on the way still arrive.  */
static void
end_life (struct vm *vm)
{
  vm->is_up = FALSE;
  g_clear_pointer (&vm->ownership, ownership_free);
}

/* CAPACITIES has an element for each VM, or is NULL: shards are divided
   evenly.  */
static struct zone *
zone_new (guint32 seed, guint n_vms, guint n_shards, const guint *capacities)
{
  struct zone *z = g_new0 (struct zone, 1);

  z->random = g_rand_new_with_seed (seed);
  z->messages = g_array_new (FALSE, FALSE, sizeof (struct message));
  z->users
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  z->now_us = 1000 * USEC_PER_SEC;
  z->generation = 1;
  z->n_vms = n_vms;
  z->n_shards = n_shards;
  z->max_run_us = 300 * USEC_PER_MSEC;
  z->is_by_capacity = capacities != NULL;
  for (guint i = 0; i < N_SHARDS; i++)
    z->owners[i] = N_VMS;
  for (guint i = 0; i < n_vms; i++)
    {
      z->capacities[i] = capacities != NULL ? capacities[i] : 0;
      z->is_mixed |= z->is_by_capacity && z->capacities[i] == 0;
      z->vms[i].zone = z;
      z->vms[i].number = i;
      begin_life (&z->vms[i]);
    }
  return z;
}

static void
zone_free (struct zone *z)
{
  for (guint i = 0; i < N_VMS; i++)
    if (z->vms[i].is_up)
      ownership_free (z->vms[i].ownership);
  g_hash_table_unref (z->users);
  g_array_unref (z->messages);
  g_rand_free (z->random);
  g_free (z);
}

/* Deals the shards evenly to the VMs that the platform knows, by chance.  */
static void
deal (struct zone *z)
{
  guint members[N_VMS];
  guint n = 0;
  guint first;

  for (guint i = 0; i < N_VMS; i++)
    if ((z->listed & bit (i)) != 0)
      members[n++] = i;
  z->generation++;
  first = n > 0 ? g_rand_int (z->random) % n : 0;
  for (guint i = 0; i < z->n_shards; i++)
    z->owners[i] = n > 0 ? members[(first + i) % n] : N_VMS;
  for (guint i = z->n_shards - 1; i > 0; i--)
    {
      guint other = g_rand_int (z->random) % (i + 1);
      guint owner = z->owners[i];

      z->owners[i] = z->owners[other];
      z->owners[other] = owner;
    }
}

/* The platform forgets who has not joined for long.  */
static void
expire_members (struct zone *z)
{
  guint64 listed = z->listed;

  for (guint i = 0; i < N_VMS; i++)
    {
      const struct vm *vm = &z->vms[i];

      if (vm->joined_us == 0 || vm->joined_us + TTL_US < z->now_us)
        listed &= ~bit (i);
    }
  if (listed == z->listed)
    return;
  z->listed = listed;
  deal (z);
}

static void
poll_platform (struct vm *vm)
{
  struct zone *z = vm->zone;
  guint shards[N_SHARDS];
  guint n = 0;

  vm->poll_due_us = z->now_us + POLL_US;
  ownership_set_platform_reached (vm->ownership,
                                  z->now_us >= vm->apart_until_us);
  if (z->now_us < vm->apart_until_us || vm->is_leaving)
    return;
  vm->joined_us = z->now_us;
  if ((z->listed & bit (vm->number)) == 0)
    {
      z->listed |= bit (vm->number);
      deal (z);
    }
  vm->assigned = 0;
  for (guint i = 0; i < N_SHARDS; i++)
    if (z->owners[i] == vm->number)
      {
        vm->assigned |= bit (i);
        shards[n++] = i;
      }
  vm->generation = z->generation;
  ownership_assign (vm->ownership, z->generation, shards, n, z->now_us);
}

static void
send_beats (struct vm *vm)
{
  struct zone *z = vm->zone;
  struct message message = { MESSAGE_BEAT, vm->number };

  vm->beat_due_us = z->now_us + BEAT_US;
  message.held = ownership_get_held (vm->ownership);
  message.is_leaving = vm->is_leaving;
  if (z->now_us >= z->news_from_us)
    message.capacity = z->capacities[vm->number];
  message.life = vm->n_lives % N_LIVES;
  g_strlcpy (message.name, vm->name, sizeof message.name);
  for (message.to = 0; message.to < z->n_vms; message.to++)
    {
      message.due_us = z->now_us + draw_us (z, MAX_DELAY_US);
      if (message.to != vm->number)
        g_array_append_val (z->messages, message);
    }
}

/* Replies to the request MESSAGE.  */
static void
reply (struct zone *z, const struct message *message, gboolean is_granted)
{
  struct message answer = { MESSAGE_REPLY, message->to, message->from };

  if (!z->is_by_capacity)
    return;
  answer.is_granted = is_granted;
  answer.shard = message->shard;
  answer.due_us = z->now_us + draw_us (z, MAX_DELAY_US);
  g_strlcpy (answer.name, z->vms[message->to].name, sizeof answer.name);
  g_array_append_val (z->messages, answer);
}

static void
deliver (struct zone *z, const struct message *message)
{
  struct vm *to = &z->vms[message->to];
  const struct vm *from = &z->vms[message->from];
  guint n_held = message->n_held;

  if (!to->is_up || z->now_us < to->cut_until_us
      || z->now_us < from->cut_until_us)
    return;
  if (message->kind == MESSAGE_BEAT)
    {
      to->heard[message->from][message->life]
          = (struct heard){ message->held, z->now_us };
      ownership_update_peer_capacity (to->ownership, message->name,
                                      message->life, message->capacity,
                                      z->now_us);
      ownership_update_peer (to->ownership, message->name, message->held,
                             message->is_leaving, z->now_us);
      return;
    }
  if (message->kind == MESSAGE_REPLY)
    {
      if (message->is_granted)
        to->granted |= bit (message->shard);
      ownership_handle_yield_reply (to->ownership, message->name,
                                    message->shard, message->is_granted,
                                    z->now_us);
      return;
    }
  if (z->is_by_capacity
      || count_bits (ownership_get_held (to->ownership) & ~to->releasing)
             >= n_held + 2)
    to->may_release = bit (message->shard);
  reply (z, message,
         ownership_handle_yield_request (to->ownership, message->name,
                                         message->shard, n_held, z->now_us));
  to->may_release = 0;
}

/* Delivers what is due, in any order; a frozen VM gets it later.  */
static void
deliver_due (struct zone *z)
{
  for (guint i = 0; i < z->messages->len;)
    {
      struct message message = g_array_index (z->messages, struct message, i);

      if (message.due_us > z->now_us
          || (z->vms[message.to].is_up && !is_awake (&z->vms[message.to])))
        {
          i++;
          continue;
        }
      g_array_remove_index_fast (z->messages, i);
      deliver (z, &message);
    }
}

/* Whether a VM other than VM holds SHARD, dead or alive ones that an upstream
   still obeys included.  */
static gboolean
is_held_elsewhere (const struct vm *vm, guint shard)
{
  const struct zone *z = vm->zone;

  for (guint i = 0; i < N_VMS; i++)
    if (i != vm->number && z->vms[i].is_up
        && (ownership_get_held (z->vms[i].ownership) & bit (shard)) != 0)
      return TRUE;
  return FALSE;
}

/* What an upstream of SHARD answers to an order of VM.  */
static void
order (struct vm *vm, guint shard)
{
  struct zone *z = vm->zone;
  guint n_raises = 0;

  if (vm->tokens[shard] >= z->seen[shard])
    {
      z->seen[shard] = vm->tokens[shard];
      return;
    }
  while (vm->tokens[shard] < z->seen[shard] && !is_held_elsewhere (vm, shard)
         && !(z->is_by_capacity && n_raises++ == MAX_RAISES))
    {
      guint64 raised
          = ownership_raise (vm->ownership, shard, vm->tokens[shard]);

      g_assert_cmpuint (raised, >, vm->tokens[shard]);
      note_token (vm, shard, raised);
    }
  if (vm->tokens[shard] < z->seen[shard])
    {
      vm->may_release = bit (shard);
      ownership_fenced (vm->ownership, shard, z->now_us);
      vm->may_release = 0;
      return;
    }
  z->seen[shard] = vm->tokens[shard];
}

static void
run_shards (struct vm *vm)
{
  struct zone *z = vm->zone;

  for (guint i = 0; i < N_SHARDS; i++)
    {
      if ((vm->releasing & bit (i)) != 0
          && vm->released_due_us[i] <= z->now_us)
        {
          vm->releasing &= ~bit (i);
          z->released_us[i] = z->now_us;
          ownership_released (vm->ownership, i, z->now_us);
        }
      if (ownership_get_token (vm->ownership, i) != 0 && draw (z, 10))
        order (vm, i);
    }
}

static void
run_vm (struct vm *vm)
{
  struct zone *z = vm->zone;

  if (vm->poll_due_us <= z->now_us)
    poll_platform (vm);
  if (vm->advance_due_us <= z->now_us)
    {
      vm->advance_due_us = z->now_us + draw_us (z, 200 * USEC_PER_MSEC);
      ownership_advance (vm->ownership, z->now_us);
    }
  run_shards (vm);
  if (vm->beat_due_us <= z->now_us)
    send_beats (vm);
  if (vm->is_leaving && ownership_get_held (vm->ownership) == 0)
    end_life (vm);
}

static void
tick (struct zone *z)
{
  z->now_us += TICK_US;
  expire_members (z);
  deliver_due (z);
  for (guint i = 0; i < N_VMS; i++)
    if (is_awake (&z->vms[i]))
      run_vm (&z->vms[i]);
}

static void
begin_leaving (struct vm *vm)
{
  struct zone *z = vm->zone;

  vm->is_leaving = TRUE;
  vm->may_release = G_MAXUINT64;
  ownership_leave (vm->ownership, z->now_us);
  vm->may_release = 0;
  if (z->now_us < vm->apart_until_us || (z->listed & bit (vm->number)) == 0)
    return;
  z->listed &= ~bit (vm->number);
  deal (z);
}

/* One fault, now and then.  */
static void
disturb (struct zone *z)
{
  struct vm *vm = &z->vms[g_rand_int (z->random) % z->n_vms];
  gint64 until_us = z->now_us + draw_us (z, 4 * USEC_PER_SEC);

  if (!vm->is_up)
    {
      begin_life (vm);
      return;
    }
  switch (g_rand_int (z->random) % 7)
    {
    case 0:
      end_life (vm);
      break;
    case 1:
      vm->frozen_until_us = until_us;
      vm->woken_us = until_us;
      break;
    case 2:
      vm->cut_until_us = until_us;
      break;
    case 3:
      vm->apart_until_us = until_us;
      break;
    case 4:
      if (is_awake (vm) && !vm->is_leaving)
        begin_leaving (vm);
      break;
    case 5:
      if (z->capacities[vm->number] != 0)
        {
          set_capacity (vm, 90 << g_rand_int (z->random) % 4);
          break;
        }
      /* fall through */
    default:
      deal (z);
    }
}

static void
run_for (struct zone *z, gint64 us)
{
  for (gint64 end_us = z->now_us + us; z->now_us < end_us;)
    tick (z);
}

static guint
count_held (const struct zone *z, guint vm)
{
  if (!z->vms[vm].is_up)
    return 0;
  return count_bits (ownership_get_held (z->vms[vm].ownership));
}

/* Ends all faults.  */
static void
calm (struct zone *z)
{
  for (guint i = 0; i < N_VMS; i++)
    {
      struct vm *vm = &z->vms[i];

      if (!is_awake (vm))
        vm->woken_us = z->now_us;
      vm->frozen_until_us = MIN (vm->frozen_until_us, z->now_us);
      vm->cut_until_us = 0;
      vm->apart_until_us = 0;
    }
  run_for (z, z->is_by_capacity ? CAPACITY_CALM_US : CALM_US);
}

static guint
find_holder (struct zone *z, guint shard)
{
  guint holder = N_VMS;

  for (guint i = 0; i < N_VMS; i++)
    {
      if (!z->vms[i].is_up
          || (ownership_get_held (z->vms[i].ownership) & bit (shard)) == 0)
        continue;
      if (holder != N_VMS)
        g_error ("%s and %s hold shard %u", z->vms[holder].name,
                 z->vms[i].name, shard);
      holder = i;
    }
  return holder;
}

/* Whether both VMs divide by capacity and I should yield a shard to K: that
   would improve the balance by 15%.  */
static gboolean
should_yield (const struct zone *z, guint i, guint k)
{
  guint n = count_held (z, i);

  return n > 0 && z->vms[k].is_up
         && (2 * n - 1) * z->capacities[k] * 100
                > (2 * count_held (z, k) + 1) * z->capacities[i] * 115
         && z->capacities[i] != 0;
}

/* The shards are divided by capacity, unless the VMs that do so are equal.  */
static void
check_balance (const struct zone *z)
{
  gboolean is_uniform = TRUE;
  guint n_to_yield = 0;

  for (guint i = 0; i < z->n_vms; i++)
    for (guint k = 0; k < z->n_vms; k++)
      {
        n_to_yield += should_yield (z, i, k) ? 1 : 0;
        is_uniform &= !z->vms[i].is_up || !z->vms[k].is_up
                      || z->capacities[i] == 0 || z->capacities[k] == 0
                      || z->capacities[i] == z->capacities[k];
      }
  g_assert_true (is_uniform || n_to_yield == 0);
}

/* Each shard has one holder, which need not yield it.  */
static void
check_calm (struct zone *z)
{
  guint n_asks = z->n_asks;
  guint n_takes = z->n_takes;

  for (guint i = 0; i < N_SHARDS; i++)
    {
      guint holder = find_holder (z, i);
      guint owner = z->owners[i];

      if (owner == N_VMS)
        continue;
      if (holder == N_VMS)
        g_error ("nobody holds shard %u of %s", i, z->vms[owner].name);
      if (holder != owner && !z->is_by_capacity)
        g_assert_cmpuint (
            count_bits (ownership_get_held (z->vms[holder].ownership)), <,
            count_bits (ownership_get_held (z->vms[owner].ownership)) + 2);
    }
  if (z->is_by_capacity)
    check_balance (z);
  for (guint i = 0; i < 100; i++)
    tick (z);
  g_assert_cmpuint (z->n_takes, ==, n_takes);
  if (!z->is_mixed)
    g_assert_cmpuint (z->n_asks, ==, n_asks);
}

static void
run_seed (guint32 seed, const guint *capacities)
{
  struct zone *z = zone_new (seed, RANDOM_VMS, N_SHARDS, capacities);

  for (guint i = 0; i < N_TICKS; i++)
    {
      if (draw (z, 100))
        disturb (z);
      tick (z);
      if (i % 2000 == 1999)
        {
          calm (z);
          check_calm (z);
        }
    }
  g_assert_cmpuint (z->n_takes, >, N_SHARDS);
  zone_free (z);
}

static void
run_seeds (const guint *capacities)
{
  const char *only = g_getenv ("OWNERSHIP_SEED");
  const char *more = g_getenv ("OWNERSHIP_SEEDS");
  guint32 n_seeds = more != NULL ? (guint32)atoi (more) : N_SEEDS;

  if (only != NULL)
    {
      run_seed ((guint32)atoi (only), capacities);
      return;
    }
  for (guint32 seed = 1; seed <= n_seeds; seed++)
    {
      /* The last line names the seed that fails.  */
      g_test_message ("seed %u", seed);
      run_seed (seed, capacities);
    }
}

static void
test_random (void)
{
  run_seeds (NULL);
}

static void
test_random_capacity (void)
{
  static const guint capacities[] = { 500, 500, 300, 300, 90, 90, 90 };
  static const guint mixed[] = { 500, 0, 300, 0, 90, 90, 90 };

  run_seeds (capacities);
  run_seeds (mixed);
}

/* A load by capacity.  Guards against shards that stay where the processors
   are not, that move without need, or that nobody or two VMs hold meanwhile.
 */
struct load
{
  const char *name;
  guint capacities[N_VMS]; /* 0: the VM divides the shards evenly */
  guint n_moves;           /* at most, until the shards are divided */
  gint64 max_run_ms;
  gint64 late_ms;     /* no beacon tells a capacity before this */
  gboolean is_slowed; /* the first VM loses 3/4 of its capacity */
  gboolean is_killed; /* the first VM dies */
};

#define LOAD_SHARDS 16
#define LONG_US (30 * USEC_PER_SEC)
#define UNEQUAL                                                               \
  {                                                                           \
    500, 500, 300, 300, 90, 90, 90, 90, 90                                    \
  }

static const struct load loads[] = {
  { "VMs of unequal capacity", UNEQUAL, 8, 300 },
  { "a third of the VMs have a fifth of the others' processor",
    { 500, 500, 500, 500, 500, 500, 100, 100, 100 },
    6,
    300 },
  { "equal capacities",
    { 300, 300, 300, 310, 300, 300, 290, 300, 300 },
    0,
    300 },
  { "a VM turns slow within the wave", UNEQUAL, 8, 300, .is_slowed = TRUE },
  { "the VM that holds most dies", UNEQUAL, 8, 300, .is_killed = TRUE },
  { "capacity news is late", UNEQUAL, 8, 300, 20000 },
  { "a shard moves while its runs last", UNEQUAL, 8, 8000 },
  { "mixed settings", { 500, 0, 300, 0, 90, 90, 90, 0, 90 }, 16, 300 },
};

/* A zone whose VMs have all joined before the platform assigns the shards. */
static struct zone *
zone_new_load (guint32 seed, const guint *capacities)
{
  struct zone *z = zone_new (seed, N_VMS, LOAD_SHARDS, capacities);

  for (guint i = 0; i < N_VMS; i++)
    z->vms[i].joined_us = z->now_us;
  z->listed = bit (N_VMS) - 1;
  deal (z);
  return z;
}

/* Returns the time until all shards are held.  */
static gint64
wait_held (struct zone *z)
{
  gint64 begin_us = z->now_us;

  for (guint i = 0; i < LOAD_SHARDS;)
    if (find_holder (z, i) == N_VMS)
      tick (z);
    else
      i++;
  return z->now_us - begin_us;
}

/* Lets the shards be divided.  Nothing moves once that is done.  */
static void
divide (struct zone *z)
{
  run_for (z, LONG_US);
  check_calm (z);
}

/* After its detection (1.2 s) a slow VM has 0.8 s left to begin to give up
   shards; it gets them back.  */
static void
slow_down (struct zone *z)
{
  guint capacity = z->capacities[0];
  guint n_held = count_held (z, 0);

  set_capacity (&z->vms[0], capacity / 4);
  run_for (z, 800 * USEC_PER_MSEC);
  g_assert_true (z->vms[0].releasing != 0 || count_held (z, 0) < n_held);
  divide (z);
  g_assert_cmpuint (count_held (z, 0), <=, n_held / 2);
  set_capacity (&z->vms[0], capacity);
  divide (z);
  g_assert_cmpuint (count_held (z, 0), >=, n_held - 1);
}

static void
run_load (const struct load *load, guint32 seed)
{
  struct zone *even = zone_new_load (seed, NULL);
  struct zone *z = zone_new_load (seed, load->capacities);

  z->max_run_us = load->max_run_ms * USEC_PER_MSEC;
  z->news_from_us = z->now_us + load->late_ms * USEC_PER_MSEC;
  g_assert_cmpint (wait_held (z), ==, wait_held (even));
  run_for (z, z->news_from_us - z->now_us);
  g_assert_cmpuint (z->n_takes, ==, LOAD_SHARDS);
  divide (z);
  deal (z);
  divide (z);
  g_assert_cmpuint (z->n_takes, <=, LOAD_SHARDS + load->n_moves);
  if (load->is_slowed)
    slow_down (z);
  g_assert_true (z->is_mixed || z->n_overlaps == 0);
  g_assert_cmpint (z->max_free_us, <,
                   (z->is_mixed ? 500 : 200) * USEC_PER_MSEC);
  if (load->is_killed)
    {
      end_life (&z->vms[0]);
      g_assert_cmpint (wait_held (z), <=,
                       TTL_US + POLL_US + OWNERSHIP_PEER_TIMEOUT_US);
      divide (z);
    }
  zone_free (z);
  zone_free (even);
}

static void
test_load (gconstpointer data)
{
  for (guint32 seed = 1; seed <= 10; seed++)
    run_load (data, seed);
}

/* One VM alone with a record of what it does.  */
struct bed
{
  struct ownership_driver driver;
  struct ownership *ownership;
  gint64 now_us;
  GString *log;
};

static void
bed_take (struct ownership_driver *driver, guint shard, guint64 token)
{
  struct bed *bed = (struct bed *)driver;

  g_assert_cmpuint (token, ==, ownership_get_token (bed->ownership, shard));
  g_string_append_printf (bed->log, "take %u;", shard);
}

static void
bed_release (struct ownership_driver *driver, guint shard)
{
  struct bed *bed = (struct bed *)driver;

  g_string_append_printf (bed->log, "release %u;", shard);
}

static void
bed_ask (struct ownership_driver *driver, const char *peer, guint shard)
{
  struct bed *bed = (struct bed *)driver;

  g_string_append_printf (bed->log, "ask %s %u;", peer, shard);
}

static const struct ownership_driver_ops bed_ops
    = { bed_take, bed_release, bed_ask };

static void
bed_assign (struct bed *bed, guint64 generation, guint64 shards)
{
  guint numbers[OWNERSHIP_MAX_SHARDS];
  guint n = 0;

  for (guint i = 0; i < OWNERSHIP_MAX_SHARDS; i++)
    if ((shards & bit (i)) != 0)
      numbers[n++] = i;
  ownership_assign (bed->ownership, generation, numbers, n, bed->now_us);
}

static void
bed_hear (struct bed *bed, const char *peer, guint64 held)
{
  ownership_update_peer (bed->ownership, peer, held, FALSE, bed->now_us);
}

static void
bed_pass (struct bed *bed, guint ms)
{
  for (guint i = 0; i < ms; i += 50)
    {
      bed->now_us += 50 * USEC_PER_MSEC;
      ownership_advance (bed->ownership, bed->now_us);
    }
}

/* Asserts what was done since the last call.  */
static void
bed_expect (struct bed *bed, const char *log)
{
  g_assert_cmpstr (bed->log->str, ==, log);
  g_string_truncate (bed->log, 0);
}

/* A VM that has listened, and holds SHARDS by generation 5.  */
static struct bed *
bed_new (guint64 shards)
{
  struct bed *bed = g_new0 (struct bed, 1);

  bed->driver.ops = &bed_ops;
  bed->ownership = ownership_new (&bed->driver, "b");
  bed->log = g_string_new (NULL);
  bed->now_us = USEC_PER_SEC;
  bed_assign (bed, 5, shards);
  bed_expect (bed, "");
  bed_pass (bed, 500);
  g_assert_cmpuint (ownership_get_held (bed->ownership), ==, shards);
  g_string_truncate (bed->log, 0);
  return bed;
}

static void
bed_free (struct bed *bed)
{
  ownership_free (bed->ownership);
  g_string_free (bed->log, TRUE);
  g_free (bed);
}

/* What nobody holds is taken at once, what a peer holds when that is gone. */
static void
test_take (void)
{
  struct bed *bed = bed_new (0);

  bed_hear (bed, "a", bit (1));
  bed_assign (bed, 6, bit (0) | bit (1));
  bed_expect (bed, "take 0;");
  bed_pass (bed, 500);
  bed_expect (bed, "");
  bed_pass (bed, 100);
  bed_expect (bed, "take 1;");
  bed_free (bed);
}

/* A VM that has heard all others of its zone takes free shards sooner, and
   still none that a live peer holds.  */
static void
test_heard_all (void)
{
  struct bed *bed = g_new0 (struct bed, 1);

  bed->driver.ops = &bed_ops;
  bed->ownership = ownership_new (&bed->driver, "b");
  bed->log = g_string_new (NULL);
  bed->now_us = USEC_PER_SEC;
  bed_assign (bed, 5, bit (0) | bit (1));
  bed_pass (bed, 50);
  bed_hear (bed, "a", bit (1));
  bed_expect (bed, "");
  ownership_end_listening (bed->ownership, bed->now_us);
  bed_pass (bed, 150);
  bed_expect (bed, "");
  bed_pass (bed, 50);
  g_assert_cmpuint (ownership_get_held (bed->ownership), ==, bit (0));
  bed_free (bed);
}

/* All VMs of a zone start at once: the first to join is assigned all shards,
   and a moment later its part.  It must not take the others meanwhile, which
   it could hand over only after all runs there have ended.  While assignments
   go on changing, it takes what is assigned to it 500 ms after its start.  */
static void
test_return_of_all (void)
{
  struct bed *bed = g_new0 (struct bed, 1);

  bed->driver.ops = &bed_ops;
  bed->ownership = ownership_new (&bed->driver, "b");
  bed->log = g_string_new (NULL);
  bed->now_us = USEC_PER_SEC;
  bed_assign (bed, 5, bit (0) | bit (1) | bit (2) | bit (3));
  bed_hear (bed, "a", 0);
  ownership_end_listening (bed->ownership, bed->now_us);
  bed_pass (bed, 200);
  bed_assign (bed, 6, bit (0) | bit (1));
  bed_pass (bed, 200);
  bed_assign (bed, 7, bit (0));
  bed_pass (bed, 50);
  bed_expect (bed, "");
  bed_pass (bed, 50);
  bed_expect (bed, "take 0;");
  bed_free (bed);
}

/* A new assignment takes nothing away.  */
static void
test_keeps (void)
{
  struct bed *bed = bed_new (bit (0) | bit (1));

  bed_assign (bed, 6, 0);
  bed_pass (bed, 2000);
  bed_hear (bed, "a", bit (2));
  bed_pass (bed, 2000);
  bed_expect (bed, "");
  bed_free (bed);
}

/* An older generation is ignored.  */
static void
test_older (void)
{
  struct bed *bed = bed_new (0);

  bed_assign (bed, 4, bit (0));
  bed_pass (bed, 500);
  bed_expect (bed, "");
  bed_free (bed);
}

/* It asks for what it would be given, as often as the interval says.  */
static void
test_asks (void)
{
  struct bed *bed = bed_new (bit (0));

  bed_hear (bed, "a", bit (1) | bit (2));
  bed_assign (bed, 6, bit (1) | bit (2));
  bed_expect (bed, "");
  bed_hear (bed, "a", bit (1) | bit (2) | bit (3));
  bed_expect (bed, "ask a 1;");
  bed_pass (bed, 150);
  bed_expect (bed, "");
  bed_pass (bed, 50);
  bed_expect (bed, "ask a 1;");
  bed_hear (bed, "a", bit (2) | bit (3));
  bed_expect (bed, "take 1;");
  bed_pass (bed, 500);
  bed_expect (bed, "");
  bed_free (bed);
}

/* It yields to who holds two less, and takes the shard again only when it has
   been free for a while.  */
static void
test_yields (void)
{
  struct bed *bed = bed_new (bit (0) | bit (1) | bit (2));

  ownership_handle_yield_request (bed->ownership, "a", 0, 2, bed->now_us);
  ownership_handle_yield_request (bed->ownership, "a", 4, 0, bed->now_us);
  bed_expect (bed, "");
  ownership_handle_yield_request (bed->ownership, "a", 0, 1, bed->now_us);
  bed_expect (bed, "release 0;");
  ownership_handle_yield_request (bed->ownership, "a", 1, 1, bed->now_us);
  bed_expect (bed, "");
  /* A repeated request gets the same reply.  */
  g_assert_true (
      ownership_handle_yield_request (bed->ownership, "a", 0, 1, bed->now_us));
  g_assert_false (
      ownership_handle_yield_request (bed->ownership, "c", 0, 1, bed->now_us));
  bed_expect (bed, "");
  g_assert_cmpuint (ownership_get_held (bed->ownership), ==, 7);
  g_assert_cmpuint (ownership_get_token (bed->ownership, 0), ==, 0);
  ownership_released (bed->ownership, 0, bed->now_us);
  g_assert_cmpuint (ownership_get_held (bed->ownership), ==, 6);
  bed_pass (bed, 500);
  bed_expect (bed, "");
  bed_pass (bed, 1000);
  bed_expect (bed, "take 0;");
  bed_free (bed);
}

/* A fenced shard is given up; the next token for it is higher.  */
static void
test_fenced (void)
{
  struct bed *bed = bed_new (bit (0));
  guint64 token = ownership_get_token (bed->ownership, 0);

  ownership_fenced (bed->ownership, 0, bed->now_us);
  ownership_fenced (bed->ownership, 0, bed->now_us);
  bed_expect (bed, "release 0;");
  ownership_released (bed->ownership, 0, bed->now_us);
  bed_pass (bed, 500);
  bed_expect (bed, "");
  bed_pass (bed, 1000);
  bed_expect (bed, "take 0;");
  g_assert_cmpuint (ownership_get_token (bed->ownership, 0), >, token);
  bed_free (bed);
}

/* Where nobody is fenced, the one that the shard is not assigned to gives it
   up; of two, the one whose name is greater.  */
static void
test_shared (void)
{
  struct bed *bed = bed_new (bit (0));

  for (guint i = 0; i < 20; i++)
    {
      bed_hear (bed, "a", bit (0));
      bed_pass (bed, 50);
    }
  bed_expect (bed, "");
  bed_assign (bed, 6, 0);
  bed_hear (bed, "a", bit (0));
  bed_pass (bed, 50);
  bed_expect (bed, "release 0;");
  bed_free (bed);
}

/* A VM that was paused does not take its silent peers for gone.  */
static void
test_pause (void)
{
  struct bed *bed = bed_new (0);

  bed_hear (bed, "a", bit (1));
  bed_assign (bed, 6, bit (1));
  bed->now_us += 5 * USEC_PER_SEC;
  ownership_advance (bed->ownership, bed->now_us);
  bed_expect (bed, "");
  bed_hear (bed, "a", bit (1));
  bed_pass (bed, 500);
  bed_expect (bed, "");
  bed->now_us += 5 * USEC_PER_SEC;
  ownership_advance (bed->ownership, bed->now_us);
  bed_pass (bed, 500);
  bed_expect (bed, "take 1;");
  bed_free (bed);
}

static void
test_leave (void)
{
  struct bed *bed = bed_new (bit (0) | bit (5));

  ownership_leave (bed->ownership, bed->now_us);
  bed_expect (bed, "release 0;release 5;");
  ownership_released (bed->ownership, 0, bed->now_us);
  ownership_released (bed->ownership, 5, bed->now_us);
  bed_assign (bed, 6, bit (0) | bit (1));
  bed_pass (bed, 2000);
  bed_expect (bed, "");
  bed_free (bed);
}

/* Generation goes before raises, and raises before names.  */
static void
test_tokens (void)
{
  struct ownership_driver driver = { &bed_ops };
  struct ownership *a = ownership_new (&driver, "vm-a");
  struct bed *bed = bed_new (bit (0));
  guint64 token = ownership_get_token (bed->ownership, 0);
  guint64 raised = token;

  g_assert_cmpuint (ownership_raise (a, 0, token), >, token);
  g_assert_cmpuint (ownership_raise (a, 0, token), !=,
                    ownership_raise (bed->ownership, 0, token));
  for (guint i = 0; i < 200; i++)
    {
      guint64 next = ownership_raise (bed->ownership, 0, raised);

      g_assert_cmpuint (next, >, raised);
      raised = next;
    }
  bed_assign (bed, 6, bit (0) | bit (1));
  g_assert_cmpuint (ownership_get_token (bed->ownership, 1), >, raised);
  g_assert_cmpuint (ownership_get_token (bed->ownership, 0), ==, token);
  bed_assign (bed, G_MAXUINT64, bit (2));
  g_assert_cmpuint (ownership_get_token (bed->ownership, 2), <=, G_MAXINT64);
  ownership_free (a);
  bed_free (bed);
}

/* A beacon of "a", which has five times the capacity of this VM.  */
static void
bed_hear_larger (struct bed *bed, guint64 incarnation, guint64 held)
{
  ownership_share_by_capacity (bed->ownership);
  ownership_set_capacity (bed->ownership, 100, bed->now_us);
  ownership_update_peer_capacity (bed->ownership, "a", incarnation, 500,
                                  bed->now_us);
  bed_hear (bed, "a", held);
}

/* A shard that a live peer releases is left to another VM for a moment; one
   that a restarted peer does not hold any more is not.  */
static void
test_handover (void)
{
  struct bed *bed = bed_new (0);

  bed_hear_larger (bed, 1, bit (1) | bit (2));
  bed_assign (bed, 6, bit (1) | bit (2));
  bed_hear_larger (bed, 1, bit (2));
  bed_pass (bed, 450);
  bed_expect (bed, "");
  bed_pass (bed, 50);
  bed_expect (bed, "take 1;");
  bed_hear_larger (bed, 2, 0);
  bed_expect (bed, "");
  bed_pass (bed, 50);
  bed_expect (bed, "take 2;");
  bed_free (bed);
}

/* A granted shard is taken when its holder has released it, and not when the
   holder is lost, has restarted, or leaves.  */
static void
test_granted (void)
{
  struct bed *bed = bed_new (0);

  for (guint64 i = 1; i <= 2; i++)
    {
      bed_hear_larger (bed, i, bit (3));
      ownership_handle_yield_reply (bed->ownership, "a", 3, TRUE, bed->now_us);
      bed_pass (bed, i == 1 ? 100 : 1000);
      bed_hear_larger (bed, 2, 0);
      bed_pass (bed, 1000);
      bed_expect (bed, "");
    }
  bed_hear_larger (bed, 2, bit (3));
  ownership_handle_yield_reply (bed->ownership, "a", 3, TRUE, bed->now_us);
  bed_pass (bed, 500);
  bed_expect (bed, "");
  bed_hear_larger (bed, 2, 0);
  bed_expect (bed, "take 3;");
  /* A holder that has taken the shard again is asked again.  */
  bed_hear_larger (bed, 2, bit (4));
  ownership_handle_yield_reply (bed->ownership, "a", 4, TRUE, bed->now_us);
  for (guint i = 0; i < 40; i++)
    {
      bed_hear_larger (bed, 2, bit (4));
      bed_pass (bed, 50);
    }
  bed_expect (bed, "ask a 4;");
  ownership_handle_yield_reply (bed->ownership, "a", 4, FALSE, bed->now_us);
  bed_hear_larger (bed, 2, 0);
  bed_pass (bed, 600);
  bed_expect (bed, "");
  bed_free (bed);
}

/* A shard that was raised often in one generation is reached in few steps. */
static void
test_many_raises (void)
{
  struct bed *bed = bed_new (bit (0));
  guint64 first = ownership_get_token (bed->ownership, 0);
  guint64 token = first;

  bed_hear_larger (bed, 1, 0);
  for (guint i = 0; i < MAX_RAISES; i++)
    token = ownership_raise (bed->ownership, 0, token);
  g_assert_cmpuint (token - first, >=, G_GUINT64_CONSTANT (1000) << 20);
  g_assert_cmpuint (ownership_raise (bed->ownership, 0, first), ==, token);
  bed_free (bed);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/ownership/take", test_take);
  g_test_add_func ("/ownership/keeps", test_keeps);
  g_test_add_func ("/ownership/older", test_older);
  g_test_add_func ("/ownership/asks", test_asks);
  g_test_add_func ("/ownership/yields", test_yields);
  g_test_add_func ("/ownership/fenced", test_fenced);
  g_test_add_func ("/ownership/shared", test_shared);
  g_test_add_func ("/ownership/pause", test_pause);
  g_test_add_func ("/ownership/heard-all", test_heard_all);
  g_test_add_func ("/ownership/return-of-all", test_return_of_all);
  g_test_add_func ("/ownership/leave", test_leave);
  g_test_add_func ("/ownership/tokens", test_tokens);
  g_test_add_func ("/ownership/handover", test_handover);
  g_test_add_func ("/ownership/granted", test_granted);
  g_test_add_func ("/ownership/many-raises", test_many_raises);
  g_test_add_func ("/ownership/random", test_random);
  g_test_add_func ("/ownership/random-capacity", test_random_capacity);
  for (gsize i = 0; i < G_N_ELEMENTS (loads); i++)
    {
      g_autofree char *path = g_strdup_printf ("/ownership/%s", loads[i].name);

      g_test_add_data_func (path, &loads[i], test_load);
    }
  return g_test_run ();
}

/*
 * The parts of a fleet world: its upstreams, and the orders on their way.
 */
#ifndef T_SUPPORT_FLEET_WORLD_PRIVATE_H
#define T_SUPPORT_FLEET_WORLD_PRIVATE_H

#include "base/clock.h"
#include "coordination/order_refusal.h"
#include "t/support/fleet_world.h"

#define FLEET_UPSTREAMS 6
#define FLEET_OWNERS 2
#define FLEET_MAX_LIVE 24
#define FLEET_MAX_TASKS 8
#define FLEET_LEASE_MS 600
#define FLEET_MAX_LEASE_MS 900
#define FLEET_STOP_MS 200
#define FLEET_DRIFT_PPM 20000

/* Stops that are lost and sent again, and what an order takes at the most.  */
#define FLEET_SLACK_US (2500 * USEC_PER_MSEC)

/* How long a run may go on after it was no longer wanted.  */
#define FLEET_STOP_BOUND_US                                                   \
  (FLEET_MAX_LEASE_MS * USEC_PER_MSEC * 102 / 100                             \
   + FLEET_STOP_MS * USEC_PER_MSEC + FLEET_SLACK_US)

enum fleet_net
{
  NET_SOUND,
  NET_LOSSY,
  NET_MUTE, /* orders arrive, no answer comes back */
  NET_CUT,
  NET_COUNT
};

enum fleet_work
{
  WORK_SOUND,
  WORK_FAILS,
  WORK_HANGS,
  WORK_SLOW,
  WORK_COUNT
};

/* A run on a simulated upstream.  */
struct sim_run
{
  char *name;
  guint number;
  gint64 began_us;
  gint64 done_us; /* when its work is done; DEADLINE_NEVER when it hangs */
  gint64 total_us;
  gint64 lease_ms;   /* on the upstream's clock */
  gint64 stopped_us; /* when a stop takes effect; DEADLINE_NEVER for none */
  gboolean fails;
  struct shape need;
};

struct sim_end
{
  guint64 number;
  char *name;
  guint run;
  enum run_end how;
};

struct sim_upstream
{
  guint slot;
  guint n_ids;
  char id[16];
  gboolean is_up;
  gboolean is_gone; /* for good, its owner not told yet */
  gboolean is_leaving;
  gboolean is_unhealthy;
  gboolean hangs_starts; /* answers no start */
  enum fleet_net net;
  enum fleet_work work;
  struct shape shape;
  gdouble full_cpus;   /* of this life; shape has as many at most */
  guint shape_version; /* rises when shape changes */
  guint told_version[FLEET_OWNERS];
  gint64 born_us;
  gint64 born_ms;
  gint64 rebirth_us;
  guint slow_ppm; /* of its clock */
  guint64 token;  /* the highest seen */
  guint64 last_end;
  GPtrArray *runs;     /* struct sim_run */
  GPtrArray *ends;     /* struct sim_end */
  GHashTable *highest; /* name -> highest run stopped or ended */
  guint owner;         /* the slot of the owner that it is given to */
  guint64 next_token;
  gboolean is_news; /* its owner is to be told what it says of itself */
  gboolean is_told_leaving[FLEET_OWNERS];
};

enum sim_order_kind
{
  SIM_START,
  SIM_STOP,
  SIM_ASK,
};

/* An order on its way.  */
struct sim_order
{
  enum sim_order_kind kind;
  guint owner;
  guint owner_life;
  struct owned_upstream *owned; /* referenced */
  guint slot;
  gint64 life_us; /* of the upstream, when it was sent */
  struct order_credentials sent;
  char *name;
  guint number;
  struct shape need;
  gint64 estimate_us;
  guint64 token;
  guint64 poll; /* number of the upstream's latest poll, when it was sent */
  guint64 last_seen;
  gint64 until_ms;
  guint wait_ms;
  gint64 sent_us;
  guint told_version; /* of the upstream's shape, when it was sent */
  gint64 carry_us;    /* when it reaches the upstream */
  gint64 wait_us;     /* the end of its wait there; 0 for not waiting */
  gint64 answer_us;   /* when the answer arrives */
  gint64 give_up_us;
  gboolean is_carried;
  gboolean is_told;
  gboolean is_answer_lost;
  enum order_end end;
  gint64 clock_ms;
  gint64 born_ms;
  GArray *running; /* struct listed_run, its own names */
  GArray *ended;   /* struct listed_end, its own names */
};

struct sim_task
{
  gboolean is_done;      /* one of its runs, as the owner was told */
  gboolean is_last_done; /* the last one was */
  guint n_failed;        /* told to the owner */
  guint last_number;
  gboolean is_returned;
};

/* What is known of a batch, also after its end.  */
struct sim_batch
{
  struct batch *batch; /* NULL once it has ended */
  guint number;
  guint owner;
  guint n_tasks;
  guint attempts;
  guint n_begun;
  guint n_finished;
  gboolean is_fenced; /* an upstream with a run of it was taken over */
  gint64 unwanted_us; /* since when it must not go on; 0 for not so */
  struct sim_task tasks[FLEET_MAX_TASKS];
};

struct sim_owner
{
  struct owner_driver driver;
  struct fleet_world *world;
  struct owner *owner;
  guint slot;
  guint life;
  gint64 wake_us;
  gint64 frozen_until_us;
  gint64 woken_us;  /* the end of the last long pause */
  guint64 unproven; /* slots of which nothing was heard since */
};

struct fleet_world
{
  gboolean placement_by_speed; /* of the owners */
  gboolean has_shrinks;
  GRand *details; /* reseeded by each step */
  gint64 now_us;
  struct sim_upstream upstreams[FLEET_UPSTREAMS];
  struct sim_owner owners[FLEET_OWNERS];
  GPtrArray *orders;  /* struct sim_order */
  GPtrArray *batches; /* struct sim_batch by number */
  GPtrArray *lost;    /* upstreams whose owner is to be told later */
  gboolean is_calm;
  gboolean is_traced;
  guint n_live;
  const char *broken;
  struct fleet_counts counts;
};

/* fleet_world.c */
void fleet_expect (struct fleet_world *world, gboolean holds,
                   const char *what);
guint fleet_draw (struct fleet_world *world, guint n);
gint64 fleet_draw_us (struct fleet_world *world, gint64 max_us);
void fleet_tell (struct fleet_world *world, const char *format, ...)
    G_GNUC_PRINTF (2, 3);

/* The batch of a task's name; *INDEX is its place there.  */
struct sim_batch *fleet_find_batch (struct fleet_world *world,
                                    const char *name, guint *index);

/* The upstream of that id, or NULL when the id is gone.  */
struct sim_upstream *fleet_find_upstream (struct fleet_world *world,
                                          const char *id);

/* fleet_upstream.c: what upstreams do.  */
void sim_upstream_init (struct fleet_world *world, guint slot);
void sim_upstream_clear (struct sim_upstream *upstream);

/* Begins a life under the same id, or a new one.  */
void sim_upstream_begin (struct fleet_world *world,
                         struct sim_upstream *upstream, gboolean is_new);
void sim_upstream_crash (struct fleet_world *world,
                         struct sim_upstream *upstream);
void sim_upstream_pass (struct fleet_world *world,
                        struct sim_upstream *upstream);
gint64 sim_upstream_clock_ms (const struct fleet_world *world,
                              const struct sim_upstream *upstream);

/* Carries ORDER out; its answer is on its way, or waits for an end.  */
void sim_upstream_obey (struct fleet_world *world,
                        struct sim_upstream *upstream,
                        struct sim_order *order);

/* Sends the answer of an ask.  */
void sim_upstream_answer_ask (struct fleet_world *world,
                              struct sim_upstream *upstream,
                              struct sim_order *order);

/* fleet_orders.c: the net.  */
struct sim_order *sim_order_new (struct sim_owner *owner,
                                 struct owned_upstream *owned,
                                 enum sim_order_kind kind);
void sim_order_send (struct fleet_world *world, struct sim_order *order,
                     guint timeout_ms);
void sim_order_free (gpointer data);
void sim_orders_pass (struct fleet_world *world);

#endif

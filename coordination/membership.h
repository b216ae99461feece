/*
 * Which entry VMs are there: free of I/O.
 *
 * Sources are the platform's list of VMs, which lags, and heartbeats.  A VM
 * exchanges heartbeats with every entry VM of its availability zone and with a
 * few of other zones that rendezvous hashing names, so that the cost does not
 * grow with the number of zones.
 *
 * A silent peer is first probed by datagrams that it answers at once; then it
 * is suspect, and is called over a fresh connection and through another peer.
 * Only when no path has answered does it stop to count as live.  A peer whose
 * machine refuses the connection is dead: its process is gone.  A peer that no
 * path reaches is silent: it may be paused or cut off, and may come back with
 * the same incarnation.  A heartbeat of a newer incarnation replaces the old
 * one at once.
 *
 * The owner passes in datagrams, outcomes of checks and the time, and performs
 * the actions of the vtable.  Times are readings of clock_now_us ().
 */
#ifndef COORDINATION_MEMBERSHIP_H
#define COORDINATION_MEMBERSHIP_H

#include "base/clock.h"
#include "coordination/replay_window.h"

#include <glib.h>

/* How often peers of the own zone, and others, get a heartbeat.  */
#define ZONE_BEAT_US (800 * USEC_PER_MSEC)
#define REMOTE_BEAT_US (1500 * USEC_PER_MSEC)

/* How often membership_advance () is to be called.  */
#define MEMBERSHIP_TICK_US (50 * USEC_PER_MSEC)

/* The silence, beyond one interval, after which a peer is probed, and after
   which it is suspect.  */
#define PROBE_AFTER_US (400 * USEC_PER_MSEC)
#define SUSPECT_AFTER_US (700 * USEC_PER_MSEC)

/* How often a silent peer is probed before it is given up.  */
#define PROBE_INTERVAL_US (100 * USEC_PER_MSEC)

/* How long the calls to a suspect may take, direct and through another.  */
#define DIRECT_CHECK_TIMEOUT_US (300 * USEC_PER_MSEC)
#define INDIRECT_CHECK_US (350 * USEC_PER_MSEC)

/* How often a peer that is not live is tried again, and how soon at first: a
   process that is ending cuts its connections before it stops listening.  */
#define RECHECK_US (2 * USEC_PER_SEC)
#define FIRST_RECHECK_US (150 * USEC_PER_MSEC)

/* Peers of other zones that a VM chooses to exchange heartbeats with.  */
#define N_REMOTE_LINKS 3

/* How long the choice of another VM for a link holds after its heartbeat.  */
#define CHOSEN_BY_US (5 * USEC_PER_SEC)

/* How long a peer is remembered that is neither listed nor live; longer than a
   ticket lives.  */
#define FORGET_PEER_US (15 * 60 * USEC_PER_SEC)

/* The most peers that are known.  */
#define MAX_PEERS 8192

enum peer_state
{
  PEER_UNHEARD, /* known by name; no heartbeats are exchanged yet */
  PEER_ALIVE,
  PEER_SUSPECT, /* still counts as live */
  PEER_SILENT,  /* no path reaches it: paused or cut off */
  PEER_DEAD,    /* its process is gone */
};

struct peer
{
  char *name;
  char *availability_zone; /* empty when not known yet */
  char *address;           /* "IP:PORT" */
  guint64 name_hash;
  guint64 incarnation; /* 0 before the first heartbeat */
  enum peer_state state;
  gboolean is_leaving; /* takes no new work: by either of the next two */
  gboolean says_leaving;
  gboolean is_listed_leaving;
  gboolean is_listed; /* by the platform */
  gboolean was_listed;
  gboolean is_linked;    /* exchanges heartbeats with this VM */
  void *transport_data;  /* for the driver's use */
  gboolean is_local;     /* of the own zone */
  gboolean is_chosen;    /* a link that this VM chose */
  gint64 chosen_by_us;   /* the peer's choice of this VM holds until then */
  gint64 heard_us;       /* or, before it was heard, when it became known */
  gint64 beat_due_us;    /* the next heartbeat or probe */
  gint64 recheck_due_us; /* when not live */
  guint check_id;        /* tells the answers to earlier checks apart */
  guint checks_pending;
  guint checks_refused;
  guint introductions; /* heartbeats that are still to introduce this VM */
  gboolean is_in_list; /* while a list is being applied */
  struct replay_window heard; /* sequences of this incarnation */
};

struct membership;
struct membership_driver;

/* What a heartbeat is to say besides the driver's own sections.  */
struct membership_heartbeat
{
  gboolean wants_answer; /* a probe, to be answered at once */
  gboolean introduces;   /* carries name, zone and address */
  gboolean chooses;      /* this VM has chosen the link */
};

enum check_result
{
  CHECK_REACHED,
  CHECK_REFUSED, /* the machine answers, the process is gone */
  CHECK_SILENT
};

struct membership_driver_ops
{
  /* Sends a heartbeat to PEER.  */
  void (*send_heartbeat) (struct membership_driver *driver, struct peer *peer,
                          const struct membership_heartbeat *beat);

  /*
   * Finds out by a call over a fresh connection whether PEER answers: itself
   * when VIA is NULL, or by asking VIA.  Reports through
   * membership_check_ended (), later, with the same CHECK_ID.
   */
  void (*check_peer) (struct membership_driver *driver, struct peer *peer,
                      struct peer *via, guint check_id, gint64 deadline_us);

  /* The state, incarnation or leaving flag of PEER has changed.  */
  void (*peer_changed) (struct membership_driver *driver, struct peer *peer);

  /* PEER is about to be freed.  */
  void (*peer_forgotten) (struct membership_driver *driver, struct peer *peer);
};

/* The first member of whoever drives a membership.  */
struct membership_driver
{
  const struct membership_driver_ops *ops;
};

struct membership_config
{
  const char *vm;
  const char *availability_zone;
  guint64 incarnation;
  guint32 seed;
};

/* One entry VM of the platform's list.  */
struct listed_vm
{
  const char *name;
  const char *availability_zone;
  const char *address;
  gboolean is_leaving;
};

/* A heartbeat that came in, its MAC checked.  */
struct received_heartbeat
{
  guint64 sender; /* hash of the VM's name */
  guint64 incarnation;
  guint32 sequence;
  gboolean is_leaving;
  gboolean wants_answer;
  gboolean chooses;
  const char *name; /* NULL when it does not introduce the sender */
  const char *availability_zone;
  const char *address;
};

/* DRIVER must outlive the membership.  */
struct membership *membership_new (struct membership_driver *driver,
                                   const struct membership_config *config);
void membership_free (struct membership *membership);

/* Applies the platform's list of entry VMs, this one included or not.  */
void membership_apply_list (struct membership *membership,
                            const struct listed_vm *vms, guint n_vms,
                            gint64 now_us);

/*
 * Takes a heartbeat.  Returns its sender, or NULL when it changed nothing: a
 * replay, an older incarnation, or an unknown sender that did not introduce
 * itself.
 */
struct peer *
membership_handle_heartbeat (struct membership *membership,
                             const struct received_heartbeat *beat,
                             gint64 now_us);

/* The kept connection to PEER broke: PEER is suspect at once.  */
void membership_suspect_peer (struct membership *membership, struct peer *peer,
                              gint64 now_us);

/* Ends one check with CHECK_ID on the peer of that name, which answered with
   INCARNATION when RESULT is CHECK_REACHED.  */
void membership_check_ended (struct membership *membership, const char *name,
                             guint check_id, enum check_result result,
                             guint64 incarnation, gint64 now_us);

/* Makes every linked peer get a heartbeat at the next tick.  */
void membership_expedite_heartbeats (struct membership *membership);

/* Passes the time; to be called every MEMBERSHIP_TICK_US.  */
void membership_advance (struct membership *membership, gint64 now_us);

/* The peer of that name, or NULL.  */
struct peer *membership_find (const struct membership *membership,
                              const char *name);

/* Whether PEER counts as there: alive, or only suspect.  */
gboolean peer_is_live (const struct peer *peer);

/* The name of STATE, as in "suspect".  Static.  */
const char *peer_state_name (enum peer_state state);

/* Calls VISIT for every known peer.  */
void membership_foreach (const struct membership *membership,
                         void (*visit) (struct peer *peer, gpointer data),
                         gpointer data);

/* Whether the platform's list was ever applied.  */
gboolean membership_has_list (const struct membership *membership);

#endif

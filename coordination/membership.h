/*
 * Tracks which entry VMs exist and are live.  Does no I/O.
 *
 * The sources are the platform's list of VMs, which lags behind, and
 * heartbeats.  A VM exchanges heartbeats with every entry VM of its
 * availability zone, and with a few of other zones that it chooses by
 * rendezvous hashing, so that the cost does not grow with the number of zones.
 *
 * A peer that sends no heartbeats is first probed: it answers a probe
 * datagram at once.  After that it is suspect, and is checked over a new
 * connection and through another peer.  It counts as live until every check
 * has failed.  A peer whose machine refuses the connection is dead: its
 * process is gone.  A peer that no check reaches is silent: it may be paused
 * or cut off, and may come back with the same incarnation.  A heartbeat of a
 * newer incarnation replaces the old one at once.
 *
 * The driver passes in heartbeats, results of checks and the time, and carries
 * out the operations of the vtable.  Times are readings of clock_now_us ().
 */
#ifndef COORDINATION_MEMBERSHIP_H
#define COORDINATION_MEMBERSHIP_H

#include "base/clock.h"
#include "coordination/replay_window.h"

#include <glib.h>

/* Intervals of heartbeats to peers of the own zone, and to others.  */
#define ZONE_HEARTBEAT_INTERVAL_US (800 * USEC_PER_MSEC)
#define REMOTE_HEARTBEAT_INTERVAL_US (1500 * USEC_PER_MSEC)

/* How often membership_advance () is to be called.  */
#define MEMBERSHIP_TICK_US (50 * USEC_PER_MSEC)

/* A peer is probed, and is suspect, when its heartbeat is overdue by this.  */
#define PROBE_AFTER_US (400 * USEC_PER_MSEC)
#define SUSPECT_AFTER_US (700 * USEC_PER_MSEC)

/* Interval of probes while the heartbeat of a peer is overdue.  */
#define PROBE_INTERVAL_US (100 * USEC_PER_MSEC)

/* Timeouts of the checks of a suspect peer, direct and through another.  */
#define DIRECT_CHECK_TIMEOUT_US (300 * USEC_PER_MSEC)
#define INDIRECT_CHECK_TIMEOUT_US (350 * USEC_PER_MSEC)

/* Interval at which a peer that is not live is tried again, and the delay of
   the first try.  The first one is early because a process that is ending
   closes its connections before it stops listening.  */
#define RECHECK_INTERVAL_US (2 * USEC_PER_SEC)
#define FIRST_RECHECK_DELAY_US (150 * USEC_PER_MSEC)

/* Number of peers of other zones that a VM chooses for heartbeat links.  */
#define N_REMOTE_LINKS 3

/* How long a link that a peer chose is kept after the peer's heartbeat.  */
#define PEER_LINK_TTL_US (5 * USEC_PER_SEC)

/* A peer that is neither listed nor live is removed after this, which is
   longer than the lifetime of a ticket.  */
#define PEER_FORGET_AFTER_US (15 * 60 * USEC_PER_SEC)

/* Maximum number of known peers; further ones are ignored.  */
#define MAX_PEERS 8192

enum peer_state
{
  PEER_UNHEARD, /* known by name: no heartbeat has arrived yet, or it does not
                   exchange heartbeats with this VM */
  PEER_ALIVE,
  PEER_SUSPECT, /* still counts as live */
  PEER_SILENT,  /* no check reaches it: paused or cut off */
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
  gboolean is_leaving; /* takes no new work; set by either of the next two */
  gboolean reports_leaving;   /* by its heartbeats */
  gboolean is_listed_leaving; /* by the platform's list */
  gboolean is_listed;         /* on the platform's list */
  gboolean was_listed;        /* ever */
  gboolean is_linked;         /* exchanges heartbeats with this VM */
  void *transport_data;       /* for the driver's use */
  gboolean is_local;          /* in the availability zone of this VM */
  gboolean is_chosen;         /* this VM chose it for a heartbeat link */
  gint64 peer_link_until_us;  /* end of a link that the peer chose */
  gint64 heard_us; /* time of its last heartbeat or answer, or when it became
                      known */
  gint64 heartbeat_due_us; /* when to send the next heartbeat or probe */
  gint64 recheck_due_us;   /* when to try it next while it is not live */
  guint check_id;          /* results of checks with another id are ignored */
  guint n_checks_pending;
  guint n_checks_refused;
  guint n_introductions_left; /* heartbeats that must introduce this VM */
  gboolean is_in_new_list;    /* on the list that is being applied */

  /* Sequence numbers of the heartbeats of this incarnation.  */
  struct replay_window received_sequences;
};

struct membership;
struct membership_driver;

/* What a heartbeat must carry besides the driver's own sections.  */
struct membership_heartbeat
{
  gboolean wants_answer; /* it is a probe, to be answered at once */
  gboolean introduces;   /* it carries the name, zone and address of this VM */
  gboolean chooses_link; /* this VM chose the peer for a link */
};

enum check_result
{
  CHECK_REACHED,
  CHECK_REFUSED,   /* the machine refuses connections: the process is gone */
  CHECK_UNANSWERED /* neither of these by the deadline */
};

struct membership_driver_ops
{
  /* Sends a heartbeat to PEER.  */
  void (*send_heartbeat) (struct membership_driver *driver, struct peer *peer,
                          const struct membership_heartbeat *heartbeat);

  /*
   * Checks over a new connection whether PEER answers by DEADLINE_US: directly
   * when VIA is NULL, or else by asking the peer VIA to check it.  Reports
   * later through membership_check_ended () with the same CHECK_ID.
   */
  void (*check_peer) (struct membership_driver *driver, struct peer *peer,
                      struct peer *via, guint check_id, gint64 deadline_us);

  /* The state, incarnation or leaving flag of PEER has changed.  */
  void (*peer_changed) (struct membership_driver *driver, struct peer *peer);

  /* PEER is about to be freed.  */
  void (*peer_forgotten) (struct membership_driver *driver, struct peer *peer);
};

/* The first member of every driver.  */
struct membership_driver
{
  const struct membership_driver_ops *ops;
};

/* This VM, and the seed of random choices.  The strings are copied.  */
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

/* A received heartbeat whose MAC was verified.  */
struct received_heartbeat
{
  guint64 sender_hash; /* of the sender's name */
  guint64 incarnation;
  guint32 sequence;
  gboolean is_leaving;
  gboolean wants_answer; /* it is a probe */
  gboolean chooses_link; /* the sender chose this VM for a link */
  const char *name;      /* NULL when it does not introduce the sender */
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
 * Applies a heartbeat.  Returns its sender, or NULL when it is ignored: a
 * replay, an older incarnation, or an unknown sender that did not introduce
 * itself.
 */
struct peer *
membership_handle_heartbeat (struct membership *membership,
                             const struct received_heartbeat *heartbeat,
                             gint64 now_us);

/* The permanent connection to PEER broke: makes PEER suspect at once.  */
void membership_suspect_peer (struct membership *membership, struct peer *peer,
                              gint64 now_us);

/* Reports the RESULT of one check with CHECK_ID of the peer NAME.  INCARNATION
   is the one that answered when RESULT is CHECK_REACHED.  */
void membership_check_ended (struct membership *membership, const char *name,
                             guint check_id, enum check_result result,
                             guint64 incarnation, gint64 now_us);

/* Sends every live linked peer a heartbeat at the next tick.  */
void membership_expedite_heartbeats (struct membership *membership);

/* Does what is due at NOW_US.  To be called every MEMBERSHIP_TICK_US.  */
void membership_advance (struct membership *membership, gint64 now_us);

/* The peer of that name, or NULL.  */
struct peer *membership_find (const struct membership *membership,
                              const char *name);

/* Whether PEER is alive or suspect.  */
gboolean peer_is_live (const struct peer *peer);

/* The name of STATE, as in "suspect".  Static.  */
const char *peer_state_name (enum peer_state state);

/* Calls VISIT for every known peer.  */
void membership_foreach (const struct membership *membership,
                         void (*visit) (struct peer *peer, gpointer data),
                         gpointer data);

/* Whether membership_apply_list () was ever called.  */
gboolean membership_has_list (const struct membership *membership);

#endif

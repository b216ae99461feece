/*
 * Which entry VMs are there: free of I/O.
 *
 * Sources are the platform's list of VMs, which lags, seeds, and heartbeats.
 * A VM exchanges heartbeats with every entry VM of its availability zone and
 * with a few of other zones that rendezvous hashing names, so that the cost
 * does not grow with the number of zones.
 *
 * Silence makes a peer suspect; it is then probed by datagrams, called over a
 * fresh connection, and called by another peer.  Only when no path has
 * answered does its state change.  A peer whose machine refuses the connection
 * is dead: its process is gone.  A peer that no path reaches is silent: it may
 * be paused or cut off, and may come back with the same incarnation.
 *
 * The owner passes in datagrams, outcomes of calls and the time, and performs
 * the actions of the vtable.  Times are readings of clock_now_us ().
 */
#ifndef COORDINATION_MEMBERSHIP_H
#define COORDINATION_MEMBERSHIP_H

#include "base/clock.h"
#include "base/list.h"

#include <glib.h>

/* How often each linked peer gets a heartbeat.  */
#define HEARTBEAT_INTERVAL_US (500 * USEC_PER_MSEC)

/* How often membership_advance () is to be called.  */
#define MEMBERSHIP_TICK_US (50 * USEC_PER_MSEC)

/* Silence after which a peer is suspect: two heartbeats missed, and a pause of
   200 ms.  */
#define SUSPECT_AFTER_US (1200 * USEC_PER_MSEC)

/* How often a suspect is probed by datagram.  */
#define PROBE_INTERVAL_US (100 * USEC_PER_MSEC)

/* How long one call to a suspect, direct or through another, may take.  */
#define CHECK_TIMEOUT_US (300 * USEC_PER_MSEC)

/* Peers of other zones that this VM chooses to exchange heartbeats with.  */
#define REMOTE_LINKS 3

/* How long a peer is remembered that is not listed and does not answer; longer
   than a ticket lives.  */
#define FORGET_PEER_US (15 * 60 * USEC_PER_SEC)

/* The most peers that are known.  */
#define MAX_PEERS 8192

enum peer_state
{
  PEER_UNHEARD, /* listed or a seed, never heard of in this incarnation */
  PEER_ALIVE,
  PEER_SUSPECT, /* still counted as alive */
  PEER_SILENT,  /* no path reaches it: paused or cut off */
  PEER_DEAD,    /* its process is gone */
};

struct peer
{
  char *name;
  char *availability_zone; /* empty when not known yet */
  char *address;           /* "IP:PORT", or NULL when not known */
  guint64 name_hash;
  guint64 incarnation; /* 0 before the first heartbeat */
  enum peer_state state;
  gboolean is_leaving; /* takes no new work */
  gboolean is_listed;  /* by the platform */
  gboolean is_linked;  /* exchanges heartbeats with this VM */

  /* For the module's own use.  */
  guint32 sequence;        /* the highest one heard */
  guint64 sequence_window; /* of the 64 before it, those heard */
  gint64 heard_us;
  gint64 beat_due_us;
  gint64 probe_due_us;
  gint64 check_deadline_us; /* of the step under way, or DEADLINE_NEVER */
  gint64 recheck_us;        /* a silent or dead peer is tried again */
  guint check_step;
  guint check_id;
  guint n_refused;
  gboolean is_chosen; /* a link that this VM chose */
  gboolean is_seen;   /* in the list being applied */
};

struct membership;
struct membership_driver;

/* What a heartbeat is to say besides the owner's own sections.  */
struct membership_beat
{
  gboolean wants_answer; /* a probe: answer at once */
  gboolean introduces;   /* carries name, zone and address */
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
  void (*send_beat) (struct membership_driver *driver, struct peer *peer,
                     const struct membership_beat *beat);

  /*
   * Finds out by a call over a fresh connection whether PEER answers, itself
   * when VIA is NULL, or by asking VIA.  Reports through
   * membership_check_ended () with the same CHECK_ID.
   */
  void (*check_peer) (struct membership_driver *driver, struct peer *peer,
                      struct peer *via, guint check_id);

  /* The state, incarnation or leaving flag of PEER has changed.  */
  void (*peer_changed) (struct membership_driver *driver, struct peer *peer,
                        enum peer_state former);

  /* PEER is about to be forgotten.  */
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

/* A heartbeat that came in, its authenticity checked.  */
struct heard_beat
{
  guint64 sender; /* hash of the VM's name */
  guint64 incarnation;
  guint32 sequence;
  gboolean is_leaving;
  gboolean wants_answer;
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
struct peer *membership_hear (struct membership *membership,
                              const struct heard_beat *beat, gint64 now_us);

/* The kept connection to PEER broke: looks after it at once.  */
void membership_suspect (struct membership *membership, struct peer *peer,
                         gint64 now_us);

/* Ends the check CHECK_ID on the peer of that name, which answered with
   INCARNATION when RESULT is CHECK_REACHED.  */
void membership_check_ended (struct membership *membership, const char *name,
                             guint check_id, enum check_result result,
                             guint64 incarnation, gint64 now_us);

/* Passes the time; to be called every MEMBERSHIP_TICK_US.  */
void membership_advance (struct membership *membership, gint64 now_us);

/* The peer of that name, or NULL.  */
struct peer *membership_find (const struct membership *membership,
                              const char *name);

/* Whether PEER counts as there: alive, or only suspect.  */
gboolean peer_is_live (const struct peer *peer);

/* Calls VISIT for every known peer.  */
void membership_foreach (const struct membership *membership,
                         void (*visit) (struct peer *peer, gpointer data),
                         gpointer data);

/* Whether the platform's list was ever applied.  */
gboolean membership_has_list (const struct membership *membership);

#endif

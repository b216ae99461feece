/*
 * A small deployment on loopback for the cases of this review: the project's
 * stand-ins for the store, the minions and a proxy, and entry VMs that are
 * started with the command of the deploy file.
 *
 * Every VM has an address of its own.  Its port for peers is behind a proxy,
 * so that a case can disturb the channels between VMs.
 */
#ifndef REVIEW_BED_H
#define REVIEW_BED_H

#include "t/support/http.h"
#include "t/support/process.h"

#define BED_VMS 3
#define BED_HOST "fit.example"
#define BED_PREFIX "/fit/"

/* Relays the datagrams that come to a port.  */
struct relay
{
  struct bed *bed;
  guint from; /* VM, or BED_VMS for any */
  guint to_vm;
  GSocket *socket;
  GSocketAddress *to;
  guint source;
};

struct link;

struct bed
{
  char *directory;
  guint n_workers;
  guint owned[BED_VMS]; /* minions of each VM */
  guint16 ports[6];
  struct process *store;
  struct process *workers;
  struct relay heartbeats[BED_VMS];       /* to the peers' port */
  struct relay beacons[BED_VMS][BED_VMS]; /* from VM to VM */
  GPtrArray *links; /* struct link: channels between VMs */
  GSocket *listeners[BED_VMS];
  guint listener_sources[BED_VMS];
  guint16 beacon_ports[BED_VMS];
  gboolean is_cut;
  gint64 healed_ms; /* when the cut ended */
  struct process *vms[BED_VMS];
  FILE *record;
  gint64 began_us;
};

struct bed *bed_start (const char *record_path, guint n_workers);
void bed_free (struct bed *bed);

/* Starts VM, which has ended.  */
void bed_restart_vm (struct bed *bed, guint vm);

/* Writes a line to the record, with the time since the start.  */
void bed_note (struct bed *bed, const char *format, ...) G_GNUC_PRINTF (2, 3);
gint64 bed_now_ms (struct bed *bed);
void bed_pass (guint ms);

/* The channels between VMs that are open now go silent; new ones work.  */
void bed_silence_peers (struct bed *bed);

/* Cuts the first VM off from the other VMs; all of them go on reaching the
   store, the minions and the clients.  Datagrams are lost; TCP sends what is
   lost of channels again, see bed.c.  */
void bed_cut (struct bed *bed);
void bed_heal (struct bed *bed);

/* Sends the job ID with BODY to VM.  The client says that it waits for
   BUDGET_MS.  */
struct http_call *bed_send (struct bed *bed, guint vm, const char *id,
                            const char *body, guint budget_ms);

/* A job of so many tasks that VM has no room for MORE of them, each of which
   uses 6.8 of the 16 cores of a minion and takes RUN_MS.  */
char *bed_format_job (struct bed *bed, guint vm, guint more, guint run_ms,
                      guint estimate_ms);

/* What the minions have run.  The caller owns it.  */
json_t *bed_get_record (struct bed *bed);

/* Writes what the minions have run to the record.  */
void bed_note_runs (struct bed *bed, json_t *list);

#endif

/*
 * The faults of a soak: a schedule drawn from the seed, which is carried out
 * on the processes and stand-ins of a bed.
 *
 * Faults follow each other and overlap, but no two of a kind of target hit the
 * same target at once.
 */
#ifndef T_SOAK_FAULTS_H
#define T_SOAK_FAULTS_H

#include "t/soak/traffic.h"

#include <stdio.h>

enum outage_kind
{
  OUTAGE_PAUSED,
  OUTAGE_LEAVING, /* told to stop, until its end */
  OUTAGE_DOWN
};

struct faults;

/* Draws what happens within SECONDS from now.  */
struct faults *faults_new (struct fleet_bed *bed, struct traffic *traffic,
                           guint32 seed, guint seconds);
void faults_free (struct faults *faults);

/* Does what is due; to be called every few ms.  */
void faults_advance (struct faults *faults);

/* Whether all faults have been taken back and all VMs run again.  */
gboolean faults_are_over (const struct faults *faults);

/* When the last of them was.  */
gint64 faults_get_end_ms (const struct faults *faults);

/* How many faults are carried out.  */
guint faults_count (const struct faults *faults);

/* Whether an outage of KIND of VM lasted for a part of FROM_MS to TO_MS.  */
gboolean faults_was_out (const struct faults *faults, guint vm,
                         enum outage_kind kind, gint64 from_ms, gint64 to_ms);

/* The same for a fault of the links from callers to VM.  */
gboolean faults_were_callers_cut (const struct faults *faults, guint vm,
                                  gint64 from_ms, gint64 to_ms);

/* Whether any fault other than the stop of one VM lasted then.  */
gboolean faults_were_others (const struct faults *faults, gint64 from_ms,
                             gint64 to_ms);

/* Whether a start at START_MS on a worker of ZONE was forbidden: the zone was
   evacuated for longer than it takes in the worst case until that is in force
   everywhere, VMs included that a fault had cut off.  */
gboolean faults_forbid_start (const struct faults *faults, guint zone,
                              gint64 start_ms);

/* VMs that ended without being told to.  */
guint faults_count_own_ends (const struct faults *faults);

/* Prints the schedule, with times in s from START_MS.  */
void faults_print (const struct faults *faults, gint64 start_ms, FILE *file);

#endif

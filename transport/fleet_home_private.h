/*
 * Declarations shared by the files that implement the home; see fleet_home.h.
 */
#ifndef TRANSPORT_FLEET_HOME_PRIVATE_H
#define TRANSPORT_FLEET_HOME_PRIVATE_H

#include "coordination/spread.h"
#include "transport/fleet_job.h"

/* After this many assignments tasks stay in the queue of their owner: the free
   slots that other owners report evidently don't fit them.  */
#define FLEET_MAX_MOVABLE_ASSIGNMENTS 6

struct fleet_home
{
  char *vm;
  char *name; /* of this home, from fleet_format_home () */
  char *availability_zone;
  guint64 incarnation;
  gdouble far_factor; /* run time of a task outside its rack relative to
                         that on its rack */
  struct vm_directory *directory;
  struct peer_hub *hub;
  struct fleet_owner *owner;
  struct fleet_admission *admission;
  const struct evacuation *evacuation; /* NULL: no zone is evacuated */
  GHashTable *jobs; /* id -> struct fleet_job that is not answered */
  guint n_parts;    /* of all jobs, which numbers them: batches of a job that
                       was sent again must not be taken for its former ones */
};

/* fleet_home_rooms.c */

/* The live owners, struct spread_owner, that have slots, free or not, for
   tasks for SERVICE that need CPUS each.  VMs that are leaving are left out,
   except this one.  */
GArray *fleet_home_list_owners (struct fleet_home *home, const char *service,
                                gdouble cpus);

/* Retry-After of JOB, in milliseconds, if there is no room for it in time;
   FALLBACK_MS if retries are not spread.  */
gint64 fleet_home_get_retry_ms (struct fleet_job *job, gint64 fallback_ms);

/* fleet_part.c: how parts of jobs reach their owners.  */

/* Hands PART to its owner.  If that is another VM, ENDED is called with PART
   when the call has ended.  */
void fleet_part_send (struct fleet_part *part, peer_call_done_func *ended);

/* Tells the owner to stop PART.  Its end is reported later, from the main
   loop.  */
void fleet_part_stop (struct fleet_part *part);

#endif

/*
 * What integration tests with several entry VMs need besides a deployment.
 */
#ifndef T_SUPPORT_PEERS_H
#define T_SUPPORT_PEERS_H

#include "t/support/deployment.h"

/* Puts every entry VM of the deployment, and upstream LEAVING_UPSTREAM as a
   leaving one unless it is negative, on the platform's list of VMs.  */
void peers_publish (struct deployment *d, int leaving_upstream);

/* Waits until entry VM VIEWER sees entry VM SUBJECT in STATE.  */
void peers_wait_state (struct deployment *d, guint viewer, guint subject,
                       const char *state);

/* Publishes the list and waits until every entry VM sees all others alive.  */
void peers_connect (struct deployment *d);

/* A ticket of entry VM INDEX.  The caller owns it.  */
char *peers_draw_ticket (struct deployment *d, guint index);

/* The text of deployment_job () under TICKET.  The caller owns it.  */
char *peers_job (const char *ticket, guint n_tasks, guint run_ms,
                 guint first_value);

/* A member of "peer_messages" of entry VM INDEX.  */
gint64 peers_count (struct deployment *d, guint index, const char *name);

#endif

/*
 * A whole deployment on loopback for integration tests: the platform's
 * stand-in, upstreams and entry VMs as real processes.
 */
#ifndef T_SUPPORT_DEPLOYMENT_H
#define T_SUPPORT_DEPLOYMENT_H

#include "t/support/process.h"

#include <jansson.h>

#define DEPLOYMENT_MAX_ENTRIES 8

/* The team and service that a deployment serves.  */
#define DEPLOYMENT_TEAM "hjolavinir"
#define DEPLOYMENT_SERVICE "staerdarvisir"

struct deployment
{
  char *directory; /* settings files */
  struct process *platform;
  struct process *upstreams; /* one process, a port each upstream */
  guint n_entries;
  struct process *entries[DEPLOYMENT_MAX_ENTRIES];
  guint64 version; /* of the document published last */
};

/* Starts everything and waits until the document is in force.  */
struct deployment *deployment_start (guint n_entries, guint n_upstreams);

/* Ends every process.  */
void deployment_stop (struct deployment *deployment);

/* The document that names the upstreams.  The caller owns it.  */
json_t *deployment_document (struct deployment *deployment);

/* Publishes DOCUMENT and waits until every entry VM has it in force.  */
void deployment_publish (struct deployment *deployment, json_t *document);

/* Waits until every entry VM has the document published last in force.  */
void deployment_wait_in_force (struct deployment *deployment);

/* The settings of entry VM INDEX, to be changed before it starts.  The caller
   owns them.  */
json_t *deployment_settings (struct deployment *deployment, guint index);

/* Starts, or starts again, entry VM INDEX with SETTINGS.  */
void deployment_start_entry (struct deployment *deployment, guint index,
                             json_t *settings);

/* The URL of PATH on entry VM INDEX.  The caller owns it.  */
char *deployment_url (struct deployment *deployment, guint index,
                      const char *path);

/*
 * The text of a job of N_TASKS tasks, task I of which runs RUN_MS and has the
 * value FIRST_VALUE + I.  The caller frees it.
 */
char *deployment_job (guint n_tasks, guint run_ms, guint first_value);

/*
 * Asserts that ANSWER is whole: an output for each task, in the order of the
 * tasks, with the values that deployment_job () set.
 */
void deployment_assert_whole (json_t *answer, guint n_tasks,
                              guint first_value);

/*
 * Asserts that no upstream started a task twice; returns the number of tasks
 * that were started.
 */
guint deployment_assert_starts (struct deployment *deployment);

#endif

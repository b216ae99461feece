/*
 * Judges a run by three records: what the upstreams started, what the callers
 * were answered, and what the platform's log holds.
 *
 * It holds that no task started twice, that every answer is complete or marked
 * failed, that it belongs to its own request, that a refusal as not run is
 * true, and that documents in force never go back.
 */
#ifndef T_SUPPORT_CHECKER_H
#define T_SUPPORT_CHECKER_H

#include <glib.h>
#include <jansson.h>

struct checker;

struct checker *checker_new (void);
void checker_free (struct checker *checker);

/* Adds the body of an upstream stand-in's GET /test/starts.  */
void checker_add_starts (struct checker *checker, const char *upstream,
                         json_t *body);

/*
 * Adds the submission of job ID: N_TASKS tasks, task I of which has the value
 * FIRST_VALUE + I.
 */
void checker_add_job (struct checker *checker, const char *id, guint n_tasks,
                      guint first_value);

/*
 * Adds an answer that was received for job ID; a job may have several.  STATUS
 * is the HTTP status, 0 for no answer; BODY, which may be NULL, its text.
 */
void checker_add_answer (struct checker *checker, const char *id, guint status,
                         const char *body);

/* Adds the platform stand-in's dump of the configuration stream.  */
void checker_add_changes (struct checker *checker, json_t *dump);

/* Adds that VM showed VERSION of TEAM's document in force, in the order in
   which it was seen.  */
void checker_add_in_force (struct checker *checker, const char *vm,
                           const char *team, gint64 version);

/*
 * Returns the violations, one a line, or NULL when there are none.  The caller
 * frees it.
 */
char *checker_find_violations (struct checker *checker);

/* Fails the running test with the violations, if there are any.  */
void checker_verify (struct checker *checker);

#endif

/*
 * The configuration in force according to the platform's log, a service that
 * keeps streams of numbered records.  It is not the log of events.
 *
 * Reads the newest snapshot and the records after it.  Decides which of the
 * changes in them take effect with coordination/config_log.h, as the entry VMs
 * do.
 */
#ifndef COMMANDS_CONFIG_VIEW_H
#define COMMANDS_CONFIG_VIEW_H

#include "commands/client.h"
#include "coordination/config_log.h"

#include <glib.h>
#include <jansson.h>

/* The options of every command that reads the platform's log.  */
struct config_options
{
  char *log_url;
  char *config_stream;
  char *snapshot_stream;
  char **entries; /* entry VMs as "IP:PORT", ended by NULL; NULL for none */
  char *token_file;
  char *token;    /* the operators' token, or NULL */
  int timeout_ms; /* of one operation on the log */
  gboolean is_json;
};

/* The decision on one change.  */
struct config_decision
{
  guint64 offset; /* of the change in the log; as a document, its version is
                     this plus one */
  gint64 unix_ms; /* when the log appended it */
  char *team;
  char *edit;      /* id of the edit */
  char *author;    /* who published it */
  guint64 base;    /* version that the change is based on */
  guint64 current; /* version in force after the decision; 0 for none */
  enum config_verdict verdict;
  char *detail; /* the differences if accepted, otherwise any problems; one
                   per line */
};

struct config_view;

/* A view of the log that OPTIONS name.  Reads nothing yet.  OPTIONS must
   outlive it.  */
struct config_view *config_view_new (const struct config_options *options);
void config_view_free (struct config_view *view);

/*
 * Reads the newest snapshot and the records after it, or with WANTS_HISTORY
 * every record that the log still keeps.  Returns FALSE with ERROR_UNAVAILABLE
 * when the log does not answer or its answer is not valid.  DEADLINE_US
 * applies to the records.  Loading the snapshot has its own time limits.
 */
gboolean config_view_load (struct config_view *view, gboolean wants_history,
                           gint64 deadline_us, GError **error);

/* Reads the records that were appended since the last read.  Returns FALSE
   with ERROR_UNAVAILABLE as config_view_load () does.  */
gboolean config_view_update (struct config_view *view, gint64 deadline_us,
                             GError **error);

/* Appends RECORD to the log.  ERROR_NOT_RUN means that nothing was sent.
   After any other error the record may or may not be in the log.  */
gboolean config_view_append (struct config_view *view, json_t *record,
                             gint64 deadline_us, GError **error);

/* The decisions so far.  Owned by VIEW.  */
const struct config_log *config_view_get_log (const struct config_view *view);

/* The decisions on changes of TEAM read so far, struct config_decision in the
   order of the log.  The decisions are owned by VIEW, the array by the caller.
 */
GPtrArray *config_view_list_decisions (const struct config_view *view,
                                       const char *team);

/*
 * The decision on the edit EDIT, or NULL when none was read.  A record that
 * was appended several times has several decisions.  Returns the accepted one
 * if there is one, otherwise the first.
 */
const struct config_decision *
config_view_find_edit (const struct config_view *view, const char *edit);

/* DECISION as JSON.  Returns a new reference.  */
json_t *config_decision_format (const struct config_decision *decision);

/* Prints DECISION with its detail as text on standard output.  */
void config_decision_print (const struct config_decision *decision);

#endif

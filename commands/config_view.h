/*
 * What the log says about the configuration, as the entry VMs decide it.
 *
 * Reads the newest snapshot and the records behind it and decides them by
 * coordination/config_log.h.
 */
#ifndef COMMANDS_CONFIG_VIEW_H
#define COMMANDS_CONFIG_VIEW_H

#include "commands/client.h"
#include "coordination/config_log.h"

#include <glib.h>
#include <jansson.h>

/* The options that all commands on the log share.  */
struct config_options
{
  char *log_url;
  char *config_stream;
  char *snapshot_stream;
  char **entries; /* "IP:PORT" */
  char *token_file;
  char *token;
  int timeout_ms;
  gboolean is_json;
};

/* One change that was decided.  */
struct config_event
{
  guint64 offset;
  gint64 unix_ms;
  char *team;
  char *edit;
  char *author;
  guint64 base;
  guint64 current; /* version in force after it */
  enum config_verdict verdict;
  char *detail; /* what differs, or the problems, a line each */
};

struct config_view;

/* Prepares a view of the log that OPTIONS, which must outlive it, name.  */
struct config_view *config_view_new (const struct config_options *options);
void config_view_free (struct config_view *view);

/*
 * Reads what is in force.  With WANTS_HISTORY, reads every record that the log
 * still keeps.  Returns FALSE with ERROR_UNAVAILABLE when the log does not
 * answer before DEADLINE_US.
 */
gboolean config_view_load (struct config_view *view, gboolean wants_history,
                           gint64 deadline_us, GError **error);

/* Reads the records that came since.  */
gboolean config_view_update (struct config_view *view, gint64 deadline_us,
                             GError **error);

/* Appends RECORD.  ERROR_NOT_RUN says that nothing was sent; after any other
   error the record may or may not be in the log.  */
gboolean config_view_append (struct config_view *view, json_t *record,
                             gint64 deadline_us, GError **error);

/* The decisions so far.  Owned by VIEW.  */
const struct config_log *config_view_get_log (const struct config_view *view);

/* The changes of TEAM read so far, struct config_event in the order of the
   log.  The events are owned by VIEW, the array by the caller.  */
GPtrArray *config_view_list_events (const struct config_view *view,
                                    const char *team);

/*
 * The first event whose edit is EDIT that was not found void for a repetition:
 * the accepted one if there is one, else the first; NULL when none was read.
 */
const struct config_event *
config_view_find_edit (const struct config_view *view, const char *edit);

/* EVENT as JSON; a new reference.  */
json_t *config_event_format (const struct config_event *event);

/* Prints EVENT for a person, with what differs.  */
void config_event_print (const struct config_event *event);

#endif

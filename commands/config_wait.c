#include "commands/config_wait.h"

#include "base/clock.h"
#include "commands/cli.h"

/* Timeout of a request for the state of one entry VM.  */
#define REQUEST_TIMEOUT_US (2 * USEC_PER_SEC)

/* Time between two rounds of requests.  */
#define POLL_INTERVAL_US (50 * USEC_PER_MSEC)

/* One entry VM that is polled.  */
struct target
{
  char *address;
  guint64 version;      /* in force, as it last reported; 0 for none */
  gboolean is_in_force; /* VERSION is the requested one or newer */
  char *error;          /* why the last request failed, or NULL */
};

static void
target_free (gpointer data)
{
  struct target *target = data;

  g_free (target->address);
  g_free (target->error);
  g_free (target);
}

static void
add_target (GPtrArray *targets, const char *address)
{
  struct target *target = g_new0 (struct target, 1);

  target->address = g_strdup (address);
  g_ptr_array_add (targets, target);
}

/* Asks TARGET for its version of the document of TEAM.  */
static void
poll_target (struct client *client, struct target *target, const char *team,
             guint64 version, gint64 deadline_us)
{
  struct client_request request = {
    .method = "GET",
    .address = target->address,
    .path = "/v1/state",
    .deadline_us = MIN (deadline_us, clock_now_us () + REQUEST_TIMEOUT_US),
  };
  g_autoptr (GError) error = NULL;
  json_t *state = client_fetch_json (client, &request, &error);
  json_t *document
      = json_object_get (json_object_get (state, "documents"), team);

  g_clear_pointer (&target->error, g_free);
  if (state == NULL)
    target->error = g_strdup (error->message);
  target->version
      = (guint64)json_integer_value (json_object_get (document, "version"));
  target->is_in_force = target->version >= version;
  json_decref (state);
}

static void
build_result (const GPtrArray *targets, struct config_wait_result *result)
{
  result->n_asked = targets->len;
  result->entries = json_array ();
  for (guint i = 0; i < targets->len; i++)
    {
      const struct target *target = g_ptr_array_index (targets, i);

      if (target->is_in_force)
        result->n_in_force++;
      json_array_append_new (
          result->entries,
          json_pack ("{s:s, s:I, s:b, s:s?}", "entry", target->address,
                     "version", (json_int_t)target->version, "in_force",
                     target->is_in_force, "error", target->error));
    }
}

/* Polls the targets on which VERSION of TEAM was not in force yet.  Returns on
   how many it still is not.  */
static guint
poll_targets (struct client *client, const GPtrArray *targets,
              const char *team, guint64 version, gint64 deadline_us)
{
  guint n_pending = 0;

  for (guint i = 0; i < targets->len; i++)
    {
      struct target *target = g_ptr_array_index (targets, i);

      if (!target->is_in_force)
        poll_target (client, target, team, version, deadline_us);
      if (!target->is_in_force)
        n_pending++;
    }
  cli_show_progress ("in force on %u of %u entry VMs",
                     targets->len - n_pending, targets->len);
  return n_pending;
}

void
config_wait (const struct config_options *options, const char *team,
             guint64 version, gint64 deadline_us,
             struct config_wait_result *result)
{
  struct client *client = client_new (options->token);
  g_autoptr (GPtrArray) targets = g_ptr_array_new_with_free_func (target_free);
  gint64 start_us = clock_now_us ();

  *result = (struct config_wait_result){ 0 };
  for (char **e = options->entries; e != NULL && *e != NULL; e++)
    add_target (targets, *e);
  while (poll_targets (client, targets, team, version, deadline_us) > 0
         && clock_now_us () < deadline_us)
    g_usleep ((gulong)POLL_INTERVAL_US);
  cli_show_progress (NULL);
  result->waited_us = clock_now_us () - start_us;
  build_result (targets, result);
  client_free (client);
}

void
config_wait_result_clear (struct config_wait_result *result)
{
  json_decref (result->entries);
}

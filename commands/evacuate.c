#include "base/clock.h"
#include "base/error.h"
#include "commands/cli.h"
#include "platform/operator_requests.h"

#include <stdio.h>
#include <string.h>

#define DEFAULT_TIMEOUT_MS 10000

/* The timeout of one call.  A call without a response is repeated: a request
   that is made twice has the same effect.  */
#define CALL_TIMEOUT_US (2 * USEC_PER_SEC)
#define RETRY_INTERVAL_US (250 * USEC_PER_MSEC)

#define STATUS_FORBIDDEN 403
#define STATUS_TOO_MANY_REQUESTS 429
#define STATUS_INTERNAL_ERROR 500

static const struct cli_usage usage = {
  .name = "evacuate",
  .arguments = "[ZONE]",
  .summary = "Asks that nothing more is started on the upstreams of an "
             "availability zone, or\ntakes it back.  Without ZONE, lists the "
             "evacuated zones.",
  .example = "  radishchute evacuate --store 10.0.0.7:8169 zone-a\n"
             "  radishchute evacuate --store 10.0.0.7:8169 --take-back "
             "zone-a\n",
  .max_arguments = 1,
};

struct request
{
  struct client *client;
  char *store;
  gint64 deadline_us;
  gboolean is_take_back;
  gboolean is_forced;
  gboolean is_json;
};

/* Sets ERROR: the store has not accepted a request because of REASON, or with
   a status that says to try again when that is NULL.  */
static void
set_store_error (const struct request *request, const GError *reason,
                 GError **error)
{
  error_set (error,
             reason != NULL ? error_get_kind (reason) : ERROR_UNAVAILABLE,
             "the store at %s does not accept the request: %s", request->store,
             reason != NULL ? reason->message
                            : "it is down or overloaded; try again");
}

/* Calls the store until it responds or the deadline has passed.  */
static struct client_response *
call_store (const struct request *request, const char *method,
            const char *path, GBytes *bytes, GError **error)
{
  for (;;)
    {
      g_autoptr (GError) reason = NULL;
      gint64 limit_us = clock_now_us () + CALL_TIMEOUT_US;
      struct client_request call
          = { .method = method,
              .address = request->store,
              .path = path,
              .bytes = bytes,
              .deadline_us = MIN (request->deadline_us, limit_us) };
      struct client_response *response
          = client_call (request->client, &call, &reason);

      if (response != NULL && response->status < STATUS_INTERNAL_ERROR
          && response->status != STATUS_TOO_MANY_REQUESTS)
        return response;
      g_clear_pointer (&response, client_response_free);
      if (clock_now_us () + RETRY_INTERVAL_US >= request->deadline_us
          || (reason != NULL && error_get_kind (reason) == ERROR_INVALID))
        {
          set_store_error (request, reason, error);
          return NULL;
        }
      g_usleep (RETRY_INTERVAL_US);
    }
}

/* The set of zones that the records of TOPIC name, or NULL with ERROR.  */
static GHashTable *
fetch_zones (const struct request *request, const char *topic, GError **error)
{
  g_autoptr (GHashTable) zones
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  g_autofree char *after_key = NULL;

  do
    {
      g_autofree char *path = operator_list_path (topic, after_key);
      struct client_response *page
          = call_store (request, "GET", path, NULL, error);

      if (page == NULL)
        return NULL;
      g_free (after_key);
      after_key = operator_read_zones (topic, page->text, page->length, zones,
                                       error);
      client_response_free (page);
      if (after_key == NULL)
        return NULL;
    }
  while (after_key[0] != '\0');
  return g_steal_pointer (&zones);
}

/* The names in ZONES, sorted, separated by commas.  */
static char *
join_names (GHashTable *zones)
{
  g_autoptr (GList) names
      = g_list_sort (g_hash_table_get_keys (zones), (GCompareFunc)strcmp);
  GString *text = g_string_new (NULL);

  for (const GList *name = names; name != NULL; name = name->next)
    g_string_append_printf (text, "%s%s", text->len > 0 ? ", " : "",
                            (const char *)name->data);
  return g_string_free (text, FALSE);
}

/* Whether ZONE may be evacuated: it has upstreams, and is not the last zone in
   use.  */
static gboolean
check_evacuation (const struct request *request, const char *zone,
                  GHashTable *evacuated, GError **error)
{
  g_autoptr (GHashTable) known = fetch_zones (request, UPSTREAM_TOPIC, error);
  g_autofree char *names = NULL;
  GHashTableIter iter;
  gpointer name;
  guint n_left = 0;

  if (known == NULL)
    return FALSE;
  names = join_names (known);
  if (!g_hash_table_contains (known, zone))
    {
      error_set (error, ERROR_INVALID,
                 "no upstream is registered in zone '%s', only in: %s; check "
                 "the name, or use --force",
                 zone, names);
      return FALSE;
    }
  g_hash_table_iter_init (&iter, known);
  while (g_hash_table_iter_next (&iter, &name, NULL))
    n_left += !g_str_equal (name, zone)
              && !g_hash_table_contains (evacuated, name);
  if (n_left > 0)
    return TRUE;
  error_set (error, ERROR_INVALID,
             "'%s' is the last zone in use: every job would be refused; take "
             "another zone back first, or use --force",
             zone);
  return FALSE;
}

static int
print_result (const struct request *request, const char *zone,
              const char *state, gint64 offset)
{
  if (request->is_json)
    {
      json_t *result = json_pack ("{s:s, s:s, s:I}", "zone", zone, "state",
                                  state, "offset", (json_int_t)offset);

      cli_print_json (result);
      json_decref (result);
    }
  else if (offset >= 0)
    printf ("%s: %s, accepted at offset %" G_GINT64_FORMAT "\n", zone, state,
            offset);
  else
    printf ("%s: %s already\n", zone, state);
  return EXIT_STATUS_OK;
}

/* Writes the request to the store, and prints where it lies.  */
static int
write_request (const struct request *request, const char *zone,
               const char *state)
{
  g_autoptr (GError) error = NULL;
  g_autoptr (GBytes) record
      = operator_evacuation_record (zone, !request->is_take_back);
  struct client_response *response
      = call_store (request, "POST", operator_append_path (), record, &error);
  gint64 offset = -1;

  if (response != NULL && response->status == STATUS_FORBIDDEN)
    error_set (&error, ERROR_INVALID,
               "the store refuses the request from this machine; run the "
               "command where the operator may write");
  else if (response != NULL && client_response_check (response, &error))
    offset = json_integer_value (json_object_get (response->json, "offset"));
  g_clear_pointer (&response, client_response_free);
  if (error != NULL)
    return cli_report_error (usage.name, error, request->is_json);
  return print_result (request, zone, state, offset);
}

static int
change_zone (const struct request *request, const char *zone,
             GHashTable *evacuated)
{
  const char *state = request->is_take_back ? "in use" : "evacuated";
  g_autoptr (GError) error = NULL;

  if (g_hash_table_contains (evacuated, zone) != request->is_take_back)
    return print_result (request, zone, state, -1);
  if (!request->is_take_back && !request->is_forced
      && !check_evacuation (request, zone, evacuated, &error))
    return cli_report_error (usage.name, error, request->is_json);
  return write_request (request, zone, state);
}

static void
print_zones (const struct request *request, GHashTable *evacuated)
{
  g_autoptr (GList) names
      = g_list_sort (g_hash_table_get_keys (evacuated), (GCompareFunc)strcmp);
  g_autofree char *text = join_names (evacuated);
  json_t *list;

  if (!request->is_json)
    {
      printf ("evacuated: %s\n", text[0] != '\0' ? text : "none");
      return;
    }
  list = json_array ();
  for (const GList *name = names; name != NULL; name = name->next)
    json_array_append_new (list, json_string (name->data));
  list = json_pack ("{s:o}", "evacuated", list);
  cli_print_json (list);
  json_decref (list);
}

static int
run (const struct request *request, const char *zone)
{
  g_autoptr (GError) error = NULL;
  g_autoptr (GHashTable) evacuated
      = fetch_zones (request, OPERATOR_TOPIC, &error);

  if (evacuated == NULL)
    return cli_report_error (usage.name, error, request->is_json);
  if (zone != NULL)
    return change_zone (request, zone, evacuated);
  print_zones (request, evacuated);
  return EXIT_STATUS_OK;
}

int
command_evacuate (int argc, char **argv)
{
  struct request request = { 0 };
  int timeout_ms = DEFAULT_TIMEOUT_MS;
  const GOptionEntry entries[] = {
    { "store", 's', 0, G_OPTION_ARG_STRING, &request.store,
      "address of the platform's store", "IP:PORT" },
    { "take-back", 'b', 0, G_OPTION_ARG_NONE, &request.is_take_back,
      "use the zone again", NULL },
    { "force", 'f', 0, G_OPTION_ARG_NONE, &request.is_forced,
      "also an unknown zone, or the last one in use", NULL },
    { "timeout", 't', 0, G_OPTION_ARG_INT, &timeout_ms,
      "how long to try, in milliseconds", "MS" },
    { "json", 'j', 0, G_OPTION_ARG_NONE, &request.is_json,
      "print JSON instead of text", NULL },
    G_OPTION_ENTRY_NULL,
  };
  int status = EXIT_STATUS_USAGE;

  if (!cli_parse (&usage, entries, NULL, &argc, &argv))
    return status;
  if (request.store == NULL)
    fprintf (stderr, "radishchute evacuate: the option --store is required\n");
  else
    {
      request.client = client_new (NULL);
      request.deadline_us = clock_now_us () + timeout_ms * USEC_PER_MSEC;
      status = run (&request, argc > 1 ? argv[1] : NULL);
      client_free (request.client);
    }
  g_free (request.store);
  return status;
}

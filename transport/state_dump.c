#include "transport/state_dump.h"

static void
add_document (gpointer key, gpointer value, gpointer data)
{
  struct document *document = value;
  json_t *documents = data;

  json_object_set_new (documents, document->team,
                       json_pack ("{s:I, s:s?}", "version",
                                  (json_int_t)document->version, "edit",
                                  document->edit));
}

static json_t *
describe_messages (struct home *home)
{
  const struct upstream_client_counts *counts
      = upstream_client_get_counts (home_get_upstream_client (home));

  return json_pack ("{s:I, s:I, s:I}", "starts", (json_int_t)counts->starts,
                    "renewals", (json_int_t)counts->renewals, "stops",
                    (json_int_t)counts->stops);
}

json_t *
state_dump_build (const struct settings *settings, struct home *home)
{
  struct dispatcher *dispatcher = home_get_dispatcher (home);
  struct job_table *jobs = dispatcher_get_jobs (dispatcher);
  json_t *documents = json_object ();

  g_hash_table_foreach (dispatcher_get_documents (dispatcher), add_document,
                        documents);
  return json_pack ("{s:s, s:s, s:I, s:b, s:I, s:I, s:I, s:o, s:o}", "vm",
                    settings->vm, "availability_zone",
                    settings->availability_zone, "incarnation",
                    (json_int_t)home_get_incarnation (home), "draining",
                    dispatcher_is_draining (dispatcher), "unfinished",
                    (json_int_t)dispatcher_count_unfinished (dispatcher),
                    "jobs", (json_int_t)g_hash_table_size (jobs->jobs),
                    "job_bytes", (json_int_t)jobs->bytes, "documents",
                    documents, "messages", describe_messages (home));
}

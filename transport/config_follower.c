#include "transport/config_follower.h"

#include "base/clock.h"
#include "base/event_log.h"
#include "protocol/log_record.h"
#include "transport/config_peers.h"
#include "transport/log_client.h"
#include "transport/snapshot_store.h"

/* How often the follower checks whether a snapshot must be loaded or saved,
   and whether documents must be fetched from a peer.  */
#define TICK_MS 200

/* Bounds of the time before a snapshot is searched for again, which doubles
   each time.  */
#define MIN_LOAD_BACKOFF_US (500 * USEC_PER_MSEC)
#define MAX_LOAD_BACKOFF_US (15 * USEC_PER_SEC)

/* The numbers of the current epochs.  A snapshot is due when either number
   changes.  */
struct snapshot_epochs
{
  guint64 period;  /* changes every snapshot_interval_s seconds */
  guint64 records; /* changes every snapshot_records records of the log */
};

struct config_follower
{
  struct log_reader reader;
  struct config_log_driver driver;
  struct config_peers_owner owner;
  const struct settings *settings;
  struct home *home;
  struct peer_hub *hub;
  struct config_log *log;
  struct config_peers *peers;    /* NULL without a hub */
  struct log_client *log_client; /* NULL until a snapshot was searched for */
  struct snapshot_store *store;
  struct snapshot_epochs epochs;
  GRand *rand;
  gint64 load_due_us; /* when to search for a snapshot next; DEADLINE_NEVER
                         when none is needed */
  gint64 load_backoff_us;
  guint tick_source;
  gboolean is_configured;
  gboolean has_load_failed; /* the last load of a snapshot */
};

static void
mark_configured (struct config_follower *follower)
{
  follower->is_configured = TRUE;
  home_set_configured (follower->home);
}

static struct document *
driver_build_document (struct config_log_driver *driver,
                       const struct config_change *change,
                       const struct document *base, GError **error)
{
  return log_record_build_document (change, base, error);
}

static void
driver_document_applied (struct config_log_driver *driver,
                         struct document *document, enum config_source source)
{
  struct config_follower *follower
      = list_entry (driver, struct config_follower, driver);

  dispatcher_apply_document (home_get_dispatcher (follower->home), document,
                             clock_now_us ());
}

static void
driver_change_decided (struct config_log_driver *driver,
                       const struct config_change *change,
                       enum config_verdict verdict,
                       const struct document *current, const GError *error)
{
  guint64 version = current != NULL ? current->version : 0;

  if (verdict == CONFIG_ACCEPTED)
    event_log (EVENT_DOCUMENT_ACCEPTED,
               "team %s, version %" G_GUINT64_FORMAT " by '%s'", change->team,
               version, change->author);
  else if (verdict == CONFIG_VOID)
    event_log (EVENT_DOCUMENT_VOID,
               "team %s, offset %" G_GUINT64_FORMAT " by '%s': based on "
               "version %" G_GUINT64_FORMAT ", but %" G_GUINT64_FORMAT
               " is in force; edit that one",
               change->team, change->offset, change->author, change->base,
               version);
  else if (verdict == CONFIG_INVALID)
    event_log (EVENT_DOCUMENT_INVALID, "%s", error->message);
}

static const struct config_log_driver_ops driver_ops = {
  .build_document = driver_build_document,
  .document_applied = driver_document_applied,
  .change_decided = driver_change_decided,
};

static void
on_record_read (struct log_reader *reader, guint64 offset, json_t *data)
{
  struct config_follower *follower = (struct config_follower *)(void *)reader;
  g_autoptr (GError) error = NULL;
  struct config_change change;
  enum log_record_kind kind
      = log_record_read_change (data, offset, &change, &error);

  if (kind == LOG_RECORD_CHANGE)
    {
      config_log_decide (follower->log, &change);
      return;
    }
  if (kind == LOG_RECORD_INVALID)
    event_log (EVENT_DOCUMENT_INVALID, "%s", error->message);
  else
    event_log (EVENT_RECORD_IGNORED, "offset %" G_GUINT64_FORMAT, offset);
  config_log_skip (follower->log, offset);
}

static void
on_gap_found (struct log_reader *reader, guint64 first)
{
  struct config_follower *follower = (struct config_follower *)(void *)reader;

  event_log (EVENT_CONFIG_GAP,
             "records from offset %" G_GUINT64_FORMAT " to %" G_GUINT64_FORMAT
             " expired before they were read; fetching the documents from a "
             "snapshot or a peer",
             config_log_get_next (follower->log), first - 1);
  config_log_note_gap (follower->log, first);
  follower->load_due_us = clock_now_us ();
  follower->load_backoff_us = MIN_LOAD_BACKOFF_US;
}

/* The log is read to its end.  The configuration counts as known unless
   records were missed and no document is in force.  */
static void
on_caught_up (struct log_reader *reader, guint64 next)
{
  struct config_follower *follower = (struct config_follower *)(void *)reader;

  if (config_log_is_certain (follower->log)
      || g_hash_table_size (config_log_get_entries (follower->log)) > 0)
    mark_configured (follower);
}

static const struct log_reader_ops reader_ops = {
  .record_read = on_record_read,
  .gap_found = on_gap_found,
  .caught_up = on_caught_up,
};

/* Applies documents from a snapshot or a peer, which were in force when every
   record before UPTO was decided.  Returns whether anything changed.  */
static gboolean
restore_documents (struct config_follower *follower,
                   const GPtrArray *documents, guint64 upto, gboolean is_whole,
                   enum config_source source)
{
  guint64 hash = config_log_hash_versions (follower->log);
  gboolean was_certain = config_log_is_certain (follower->log);
  gboolean must_seek
      = config_log_restore (follower->log, documents, upto, is_whole, source);
  gboolean has_changed
      = must_seek || config_log_hash_versions (follower->log) != hash;

  if (must_seek && follower->log_client != NULL)
    log_client_seek (follower->log_client,
                     config_log_get_next (follower->log));
  if (!was_certain && config_log_is_certain (follower->log))
    {
      follower->load_due_us = DEADLINE_NEVER;
      event_log (EVENT_CONFIG_GAP_FILLED, "from a %s",
                 config_source_name (source));
    }
  if (has_changed)
    event_log (EVENT_CONFIG_RESTORED,
               "%u documents up to offset %" G_GUINT64_FORMAT " from a %s",
               documents->len, upto, config_source_name (source));
  if (is_whole || documents->len > 0)
    mark_configured (follower);
  return has_changed;
}

static gboolean
on_documents_received (struct config_peers_owner *owner,
                       const GPtrArray *documents, guint64 next)
{
  struct config_follower *follower
      = list_entry (owner, struct config_follower, owner);

  return restore_documents (follower, documents, next, next > 0,
                            CONFIG_SOURCE_PEER);
}

static const struct config_peers_owner_ops owner_ops = {
  .documents_received = on_documents_received,
};

static void
schedule_next_load (struct config_follower *follower)
{
  follower->load_due_us
      = clock_now_us ()
        + (gint64)(g_rand_double_range (follower->rand, 0.5, 1.0)
                   * (double)follower->load_backoff_us);
  follower->load_backoff_us
      = MIN (follower->load_backoff_us * 2, MAX_LOAD_BACKOFF_US);
}

/* Starts to read the log, unless that was done before.  */
static void
follow_log (struct config_follower *follower)
{
  if (follower->log_client == NULL)
    follower->log_client = log_client_new (
        follower->settings->log_url, follower->settings->config_stream,
        config_log_get_next (follower->log), g_rand_int (follower->rand),
        &follower->reader);
}

static void
on_loaded (const struct snapshot *snapshot, const GError *error, gpointer data)
{
  struct config_follower *follower = data;

  if (error != NULL && !follower->has_load_failed)
    event_log (EVENT_LOG_UNAVAILABLE, "%s: %s", follower->settings->log_url,
               error->message);
  follower->has_load_failed = error != NULL;
  if (snapshot != NULL)
    restore_documents (follower, snapshot->documents, snapshot->upto,
                       snapshot->is_whole, CONFIG_SOURCE_SNAPSHOT);
  if (error == NULL)
    follow_log (follower);
  if (error != NULL || !config_log_is_certain (follower->log))
    schedule_next_load (follower);
  else
    follower->load_due_us = DEADLINE_NEVER;
}

static void
on_saved (guint n_parts, const GError *error, gpointer data)
{
  if (error != NULL)
    event_log (EVENT_SNAPSHOT_FAILED, "after %u records: %s", n_parts,
               error->message);
  else
    event_log (EVENT_SNAPSHOT_WRITTEN, "%u records", n_parts);
}

static struct snapshot_epochs
compute_epochs (const struct config_follower *follower)
{
  const struct settings *settings = follower->settings;
  struct snapshot_epochs epochs = {
    .period
    = (guint64)clock_unix_ms () / (settings->snapshot_interval_s * 1000ull),
    .records
    = config_log_get_next (follower->log) / settings->snapshot_records,
  };

  return epochs;
}

/* Collects PEER if it can write snapshots.  */
static void
collect_live_peer (struct peer *peer, gpointer data)
{
  GPtrArray *names = data;

  if (!peer->is_leaving && peer->state != PEER_SILENT
      && peer->state != PEER_DEAD)
    g_ptr_array_add (names, peer->name);
}

static gboolean
is_snapshot_writer (const struct config_follower *follower, guint64 epoch)
{
  g_autoptr (GPtrArray) names = g_ptr_array_new ();

  if (follower->hub != NULL)
    membership_foreach (peer_hub_get_membership (follower->hub),
                        collect_live_peer, names);
  return config_sync_writes_snapshot (follower->settings->vm,
                                      (const char *const *)names->pdata,
                                      names->len, epoch);
}

static void
save_snapshot (struct config_follower *follower)
{
  g_autofree char *id = g_strdup_printf (
      "%s-%" G_GINT64_FORMAT, follower->settings->vm, clock_unix_ms ());

  snapshot_store_save (
      follower->store,
      log_record_format_snapshot (follower->log, id, follower->settings->vm),
      on_saved, follower);
}

/* Saves a snapshot if a new epoch has begun and this VM is its writer.  */
static void
save_snapshot_if_due (struct config_follower *follower)
{
  struct snapshot_epochs epochs = compute_epochs (follower);
  gboolean is_new_period = epochs.period != follower->epochs.period;
  gboolean is_new_count = epochs.records != follower->epochs.records;

  if (!is_new_period && !is_new_count)
    return;
  if (!follower->is_configured || !config_follower_is_log_available (follower)
      || snapshot_store_is_saving (follower->store))
    return;
  follower->epochs = epochs;
  if ((is_new_period && is_snapshot_writer (follower, epochs.period))
      || (is_new_count && is_snapshot_writer (follower, epochs.records)))
    save_snapshot (follower);
}

static void
advance_peers (struct config_follower *follower)
{
  struct config_sync_state state = {
    .digest = { config_log_hash_versions (follower->log), 0 },
    .is_ready = follower->is_configured,
    .is_log_available = config_follower_is_log_available (follower),
  };

  if (follower->peers == NULL)
    return;
  if (follower->is_configured && config_log_is_certain (follower->log))
    state.digest.next = config_log_get_next (follower->log);
  config_peers_advance (follower->peers, &state);
}

static gboolean
on_tick (gpointer data)
{
  struct config_follower *follower = data;

  if (clock_now_us () >= follower->load_due_us
      && !snapshot_store_is_loading (follower->store))
    snapshot_store_load (follower->store, on_loaded, follower);
  save_snapshot_if_due (follower);
  advance_peers (follower);
  return G_SOURCE_CONTINUE;
}

struct config_follower *
config_follower_new (const struct settings *settings, struct home *home,
                     struct peer_hub *hub)
{
  struct config_follower *follower = g_new0 (struct config_follower, 1);

  follower->reader.ops = &reader_ops;
  follower->driver.ops = &driver_ops;
  follower->owner.ops = &owner_ops;
  follower->settings = settings;
  follower->home = home;
  follower->hub = hub;
  follower->rand = g_rand_new_with_seed (g_random_int ());
  follower->log = config_log_new (&follower->driver);
  follower->store
      = snapshot_store_new (settings->log_url, settings->snapshot_stream);
  if (hub != NULL)
    follower->peers = config_peers_new (hub, follower->log, &follower->owner);
  follower->epochs = compute_epochs (follower);
  follower->load_backoff_us = MIN_LOAD_BACKOFF_US;
  follower->load_due_us = DEADLINE_NEVER;
  follower->tick_source = g_timeout_add (TICK_MS, on_tick, follower);
  snapshot_store_load (follower->store, on_loaded, follower);
  return follower;
}

void
config_follower_free (struct config_follower *follower)
{
  g_source_remove (follower->tick_source);
  if (follower->peers != NULL)
    config_peers_free (follower->peers);
  if (follower->log_client != NULL)
    log_client_free (follower->log_client);
  snapshot_store_free (follower->store);
  config_log_free (follower->log);
  g_rand_free (follower->rand);
  g_free (follower);
}

const struct config_log *
config_follower_get_log (const struct config_follower *follower)
{
  return follower->log;
}

gboolean
config_follower_is_log_available (const struct config_follower *follower)
{
  return follower->log_client != NULL
         && log_client_is_available (follower->log_client);
}

json_t *
config_follower_dump_documents (const struct config_follower *follower)
{
  json_t *documents = json_object ();
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, config_log_get_entries (follower->log));
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct config_entry *entry = value;
      const struct document *document = entry->document;

      json_object_set_new (documents, document->team,
                           json_pack ("{s:I, s:s?, s:s?, s:s, s:b}", "version",
                                      (json_int_t)document->version, "edit",
                                      document->edit, "author",
                                      document->author, "source",
                                      config_source_name (entry->source),
                                      "certain", entry->is_certain));
    }
  return documents;
}

json_t *
config_follower_dump_log (const struct config_follower *follower)
{
  return json_pack ("{s:b, s:b, s:b, s:I}", "available",
                    config_follower_is_log_available (follower), "certain",
                    config_log_is_certain (follower->log), "configured",
                    follower->is_configured, "next",
                    (json_int_t)config_log_get_next (follower->log));
}

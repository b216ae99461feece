#include "transport/config_peers.h"

#include "base/clock.h"
#include "base/event_log.h"
#include "protocol/document_json.h"

#include <string.h>

#define FETCH_TIMEOUT_US (3 * USEC_PER_SEC)

/* A page is full once its documents have this many bytes.  */
#define PAGE_BYTES (512 * 1024)

struct config_peers
{
  struct peer_listener listener;
  struct config_sync_driver driver;
  struct config_peers_owner *owner;
  struct peer_hub *hub;
  const struct config_log *log;
  struct config_sync *sync;
  struct fetch *fetch;      /* the call in flight, or NULL */
  gboolean is_fetch_useful; /* a page of the fetch changed something here */
};

/* A call for one page.  It stays until its reply, also when its struct
   config_peers is freed before.  */
struct fetch
{
  struct config_peers *peers; /* NULL once that is freed */
  char *peer;
};

static void fetch_page (struct config_peers *peers, const char *peer);

/* The versions of the documents in LOG, N of them.  Free with g_free ().  */
static peer_document_version *
list_versions (const struct config_log *log, guint *n)
{
  GHashTable *entries = config_log_get_entries (log);
  peer_document_version *versions
      = g_new0 (peer_document_version, g_hash_table_size (entries) + 1);
  GHashTableIter iter;
  gpointer value;

  *n = 0;
  g_hash_table_iter_init (&iter, entries);
  while (g_hash_table_iter_next (&iter, NULL, &value)
         && *n < PEER_VERSIONS_MAX)
    {
      const struct document *document
          = ((struct config_entry *)value)->document;

      versions[*n].team = document->team;
      versions[*n].document_version = document->version;
      (*n)++;
    }
  return versions;
}

static struct document *
read_document (const peer_document *received, const char *peer, GError **error)
{
  struct document *document = document_from_text (
      received->text.text_val, received->text.text_len, peer, error);

  if (document == NULL)
    return NULL;
  document->version = received->document_version;
  document->edit = g_strdup (received->edit);
  document->author = g_strdup (received->author);
  return document;
}

/* Parses the documents of RESULT.  If one is invalid, it is left out and
   IS_WHOLE is set to FALSE.  */
static GPtrArray *
read_documents (const peer_fetch_result *result, const char *peer,
                gboolean *is_whole)
{
  GPtrArray *documents
      = g_ptr_array_new_with_free_func ((GDestroyNotify)document_unref);

  for (guint i = 0; i < result->documents.documents_len; i++)
    {
      g_autoptr (GError) error = NULL;
      struct document *document
          = read_document (&result->documents.documents_val[i], peer, &error);

      if (document != NULL)
        g_ptr_array_add (documents, document);
      else
        event_log (EVENT_DOCUMENT_INVALID, "%s", error->message);
      *is_whole = *is_whole && document != NULL;
    }
  return documents;
}

/* Applies a page.  Returns whether the next one must be fetched.  */
static gboolean
apply_page (struct config_peers *peers, const char *peer,
            const peer_fetch_result *result)
{
  gboolean is_whole = result->is_complete;
  g_autoptr (GPtrArray) documents = read_documents (result, peer, &is_whole);
  gboolean has_changed = peers->owner->ops->documents_received (
      peers->owner, documents, is_whole ? result->next_offset : 0);

  peers->is_fetch_useful = peers->is_fetch_useful || has_changed;
  return has_changed && !result->is_complete;
}

static void
on_page (const void *result, const GError *error, gpointer data)
{
  struct fetch *fetch = data;
  struct config_peers *peers = fetch->peers;

  if (peers != NULL)
    peers->fetch = NULL;
  if (error != NULL)
    event_log (EVENT_PEER_FETCH_FAILED, "peer %s: %s", fetch->peer,
               error->message);
  if (peers == NULL)
    ;
  else if (result != NULL && apply_page (peers, fetch->peer, result))
    fetch_page (peers, fetch->peer);
  else
    config_sync_fetch_ended (peers->sync, fetch->peer, peers->is_fetch_useful,
                             clock_now_us ());
  g_free (fetch->peer);
  g_free (fetch);
}

static void
fetch_page (struct config_peers *peers, const char *peer)
{
  struct fetch *fetch = g_new0 (struct fetch, 1);
  peer_fetch_args arguments = { { 0, NULL } };
  guint n = 0;
  g_autofree peer_document_version *versions = list_versions (peers->log, &n);

  fetch->peers = peers;
  fetch->peer = g_strdup (peer);
  peers->fetch = fetch;
  arguments.known.known_len = n;
  arguments.known.known_val = versions;
  peer_hub_call (peers->hub, peer, PEER_FETCH_DOCUMENTS, &arguments,
                 clock_now_us () + FETCH_TIMEOUT_US, on_page, fetch);
}

static void
driver_fetch (struct config_sync_driver *driver, const char *peer)
{
  struct config_peers *peers
      = list_entry (driver, struct config_peers, driver);

  peers->is_fetch_useful = FALSE;
  fetch_page (peers, peer);
}

static const struct config_sync_driver_ops driver_ops = {
  .fetch = driver_fetch,
};

static GHashTable *
index_versions (const peer_fetch_args *arguments)
{
  GHashTable *versions = g_hash_table_new (g_str_hash, g_str_equal);

  for (guint i = 0; i < arguments->known.known_len; i++)
    {
      peer_document_version *known = &arguments->known.known_val[i];

      g_hash_table_insert (versions, known->team, &known->document_version);
    }
  return versions;
}

static void
fill_document (peer_document *sent, const struct document *document)
{
  sent->team = document->team;
  sent->document_version = document->version;
  sent->edit = document->edit;
  sent->author = document->author;
  sent->text.text_val = document->text;
  sent->text.text_len = (u_int)strlen (document->text);
}

/* Adds to RESULT the documents that are newer than in VERSIONS, a table from
   team to version, until the page is full.  */
static void
fill_page (const struct config_log *log, GHashTable *versions,
           peer_fetch_result *result)
{
  gsize bytes = 0;
  GHashTableIter iter;
  gpointer value;

  result->is_complete = TRUE;
  g_hash_table_iter_init (&iter, config_log_get_entries (log));
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct document *document
          = ((struct config_entry *)value)->document;
      const u_quad_t *known = g_hash_table_lookup (versions, document->team);

      if (known != NULL && *known >= document->version)
        continue;
      if (result->documents.documents_len == PEER_DOCUMENTS_MAX
          || bytes >= PAGE_BYTES)
        {
          result->is_complete = FALSE;
          return;
        }
      bytes += strlen (document->text);
      fill_document (
          &result->documents.documents_val[result->documents.documents_len++],
          document);
    }
}

static void
serve_fetch (struct peer_request *request, const void *arguments,
             gpointer data)
{
  struct config_peers *peers = data;
  g_autoptr (GHashTable) versions = index_versions (arguments);
  g_autofree peer_document *documents
      = g_new0 (peer_document, PEER_DOCUMENTS_MAX);
  peer_fetch_result result = { .documents = { 0, documents } };

  fill_page (peers->log, versions, &result);
  if (config_log_is_certain (peers->log))
    result.next_offset = config_log_get_next (peers->log);
  peer_request_reply (request, &result);
}

static void
on_digest_received (struct peer_listener *listener, const struct peer *peer,
                    const heartbeat_digest *received)
{
  struct config_peers *peers = (struct config_peers *)(void *)listener;
  struct config_digest digest = {
    .versions = received->versions,
    .next = received->next_offset,
  };

  config_sync_update_digest (peers->sync, peer->name, &digest,
                             clock_now_us ());
}

static void
on_peer_changed (struct peer_listener *listener, const struct peer *peer)
{
  struct config_peers *peers = (struct config_peers *)(void *)listener;

  if (peer->state == PEER_SILENT || peer->state == PEER_DEAD)
    config_sync_remove_peer (peers->sync, peer->name);
}

static const struct peer_listener_ops listener_ops = {
  .peer_changed = on_peer_changed,
  .digest_received = on_digest_received,
};

struct config_peers *
config_peers_new (struct peer_hub *hub, const struct config_log *log,
                  struct config_peers_owner *owner)
{
  struct config_peers *peers = g_new0 (struct config_peers, 1);

  peers->listener.ops = &listener_ops;
  peers->driver.ops = &driver_ops;
  peers->owner = owner;
  peers->hub = hub;
  peers->log = log;
  peers->sync = config_sync_new (&peers->driver);
  peer_hub_add_listener (hub, &peers->listener);
  peer_hub_serve (hub, PEER_FETCH_DOCUMENTS, serve_fetch, peers);
  return peers;
}

void
config_peers_free (struct config_peers *peers)
{
  peer_hub_remove_listener (peers->hub, &peers->listener);
  if (peers->fetch != NULL)
    peers->fetch->peers = NULL;
  config_sync_free (peers->sync);
  g_free (peers);
}

void
config_peers_advance (struct config_peers *peers,
                      const struct config_sync_state *state)
{
  peer_hub_set_digest (peers->hub, state->digest.versions, state->digest.next);
  config_sync_advance (peers->sync, state, clock_now_us ());
}

#include "transport/snapshot_store.h"

#include "protocol/log_answer.h"
#include "transport/log_request.h"

#define BOUNDS_TIMEOUT_MS 2000
#define REQUEST_TIMEOUT_MS 10000

/* Records in one read.  Few, since each may be a mebibyte long.  */
#define PAGE_RECORDS 4

/* The stream is searched backwards in windows of this many records.  The
   records of a window are read in order.  */
#define WINDOW_RECORDS 32

struct snapshot_store
{
  char *url;
  char *stream;
  SoupSession *session;

  struct log_request *read_request;
  struct snapshot_reader *reader; /* NULL unless a load is in progress */
  guint64 first;                  /* oldest offset of the stream */
  guint64 window_start; /* offsets of the records that are searched now */
  guint64 window_end;
  guint64 next; /* offset of the record to be read next */
  snapshot_load_func *loaded;
  gpointer load_data;

  struct log_request *save_request;
  GPtrArray *records; /* NULL unless a save is in progress */
  guint n_saved;
  snapshot_save_func *saved;
  gpointer save_data;
};

static void read_page (struct snapshot_store *store);
static void append_record (struct snapshot_store *store);

struct snapshot_store *
snapshot_store_new (const char *url, const char *stream)
{
  struct snapshot_store *store = g_new0 (struct snapshot_store, 1);

  store->url = g_strdup (url);
  store->stream = g_strdup (stream);
  store->session = log_request_new_session ();
  return store;
}

void
snapshot_store_free (struct snapshot_store *store)
{
  if (store->read_request != NULL)
    log_request_cancel (store->read_request);
  if (store->save_request != NULL)
    log_request_cancel (store->save_request);
  if (store->reader != NULL)
    snapshot_reader_free (store->reader);
  if (store->records != NULL)
    g_ptr_array_unref (store->records);
  g_object_unref (store->session);
  g_free (store->url);
  g_free (store->stream);
  g_free (store);
}

static void
end_load (struct snapshot_store *store, const struct snapshot *snapshot,
          const GError *error)
{
  struct snapshot_reader *reader = store->reader;

  store->reader = NULL;
  store->loaded (snapshot, error, store->load_data);
  snapshot_reader_free (reader);
}

/* Selects the WINDOW_RECORDS records before END to be searched next.  */
static void
set_window (struct snapshot_store *store, guint64 end)
{
  store->window_end = end;
  store->window_start = end > store->first + WINDOW_RECORDS
                            ? end - WINDOW_RECORDS
                            : store->first;
  store->next = store->window_start;
}

/* Reads the next page of the window, goes on to the window before it, or ends
   the load.  */
static void
advance_load (struct snapshot_store *store)
{
  const struct snapshot *newest = snapshot_reader_get_newest (store->reader);

  if (store->next < store->window_end)
    read_page (store);
  else if (newest != NULL || store->window_start <= store->first)
    end_load (store, newest, NULL);
  else
    {
      set_window (store, store->window_start);
      read_page (store);
    }
}

static void
add_records (struct snapshot_store *store, const struct log_answer *answer)
{
  struct log_answer_record record;

  for (size_t i = 0; i < json_array_size (answer->records); i++)
    if (log_answer_get_record (answer, i, &record)
        && record.offset >= store->next && record.offset < store->window_end)
      {
        snapshot_reader_add (store->reader, record.data);
        store->next = record.offset + 1;
      }
}

static void
on_page (guint status, json_t *root, const GError *error, gpointer data)
{
  struct snapshot_store *store = data;
  g_autoptr (GError) problem = NULL;
  struct log_answer answer;
  guint64 before = store->next;

  store->read_request = NULL;
  if (root == NULL || !log_answer_read (status, root, &answer, &problem))
    {
      end_load (store, NULL, error != NULL ? error : problem);
      return;
    }
  if (answer.records != NULL)
    add_records (store, &answer);
  store->first = MAX (store->first, answer.first);
  /* Skips a record that could not be read.  */
  if (store->next == before)
    store->next = MAX (before + 1, answer.first);
  advance_load (store);
}

static void
read_page (struct snapshot_store *store)
{
  g_autofree char *uri = log_request_format_read_uri (
      store->url, store->stream, store->next, PAGE_RECORDS, 0);

  store->read_request
      = log_request_start (store->session, SOUP_METHOD_GET, uri, NULL,
                           REQUEST_TIMEOUT_MS, on_page, store);
}

/* Receives the first and the next offset of the stream, and starts to search
   at its end.  */
static void
on_bounds (guint status, json_t *root, const GError *error, gpointer data)
{
  struct snapshot_store *store = data;
  g_autoptr (GError) problem = NULL;
  struct log_answer answer;

  store->read_request = NULL;
  if (root == NULL || !log_answer_read (status, root, &answer, &problem))
    {
      end_load (store, NULL, error != NULL ? error : problem);
      return;
    }
  store->first = answer.first;
  set_window (store, answer.next);
  advance_load (store);
}

void
snapshot_store_load (struct snapshot_store *store, snapshot_load_func *loaded,
                     gpointer data)
{
  /* A read past the end is answered with the first and the next offset of the
     stream and without records.  */
  g_autofree char *uri = log_request_format_read_uri (
      store->url, store->stream, G_MAXINT64, 1, 0);

  g_assert (store->reader == NULL);
  store->reader = snapshot_reader_new ();
  store->loaded = loaded;
  store->load_data = data;
  store->read_request
      = log_request_start (store->session, SOUP_METHOD_GET, uri, NULL,
                           BOUNDS_TIMEOUT_MS, on_bounds, store);
}

gboolean
snapshot_store_is_loading (const struct snapshot_store *store)
{
  return store->reader != NULL;
}

static void
end_save (struct snapshot_store *store, const GError *error)
{
  g_clear_pointer (&store->records, g_ptr_array_unref);
  store->saved (store->n_saved, error, store->save_data);
}

static void
on_appended (guint status, json_t *root, const GError *error, gpointer data)
{
  struct snapshot_store *store = data;
  g_autoptr (GError) problem = NULL;
  guint64 offset;

  store->save_request = NULL;
  if (root == NULL
      || !log_answer_read_offset (status, root, &offset, &problem))
    {
      end_save (store, error != NULL ? error : problem);
      return;
    }
  store->n_saved++;
  if (store->n_saved < store->records->len)
    append_record (store);
  else
    end_save (store, NULL);
}

static void
append_record (struct snapshot_store *store)
{
  g_autofree char *uri = log_request_format_uri (store->url, store->stream);

  store->save_request
      = log_request_start (store->session, SOUP_METHOD_POST, uri,
                           g_ptr_array_index (store->records, store->n_saved),
                           REQUEST_TIMEOUT_MS, on_appended, store);
}

void
snapshot_store_save (struct snapshot_store *store, GPtrArray *records,
                     snapshot_save_func *saved, gpointer data)
{
  g_assert (store->records == NULL);
  store->records = records;
  store->n_saved = 0;
  store->saved = saved;
  store->save_data = data;
  append_record (store);
}

gboolean
snapshot_store_is_saving (const struct snapshot_store *store)
{
  return store->records != NULL;
}

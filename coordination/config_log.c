#include "coordination/config_log.h"

#include "base/error.h"
#include "base/hash64.h"

struct config_log
{
  struct config_log_driver *driver;
  GHashTable *entries; /* team -> struct config_entry, owned */
  guint64 next;        /* offset of the record to be read next */
  guint64 gap_end;     /* first offset after the newest gap; 0 for none */
  gboolean is_certain; /* no records are missing before the next offset */
};

static const char *const source_names[CONFIG_SOURCE_COUNT]
    = { "log", "snapshot", "peer" };
static const char *const verdict_names[CONFIG_VERDICT_COUNT]
    = { "accepted", "void", "invalid", "undecided", "superseded" };

const char *
config_source_name (enum config_source source)
{
  return source_names[source];
}

const char *
config_verdict_name (enum config_verdict verdict)
{
  return verdict_names[verdict];
}

static void
entry_free (gpointer data)
{
  struct config_entry *entry = data;

  document_unref (entry->document);
  g_free (entry);
}

struct config_log *
config_log_new (struct config_log_driver *driver)
{
  struct config_log *log = g_new0 (struct config_log, 1);

  log->driver = driver;
  log->entries
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, entry_free);
  log->is_certain = TRUE;
  return log;
}

void
config_log_free (struct config_log *log)
{
  g_hash_table_unref (log->entries);
  g_free (log);
}

static struct config_entry *
find_entry (const struct config_log *log, const char *team)
{
  return g_hash_table_lookup (log->entries, team);
}

/* Puts DOCUMENT in force.  Returns its new entry, which is not certain yet. */
static struct config_entry *
put_in_force (struct config_log *log, struct document *document,
              enum config_source source)
{
  struct config_entry *entry = g_new0 (struct config_entry, 1);

  entry->document = document_ref (document);
  entry->source = source;
  g_hash_table_replace (log->entries, g_strdup (document->team), entry);
  log->driver->ops->document_applied (log->driver, document, source);
  return entry;
}

static struct document *
build_document (struct config_log *log, const struct config_change *change,
                const struct document *base, GError **error)
{
  struct document *document
      = log->driver->ops->build_document (log->driver, change, base, error);

  if (document == NULL)
    return NULL;
  if (!g_str_equal (document->team, change->team))
    {
      error_set (error, ERROR_INVALID,
                 "the document names team '%s' but was published for team "
                 "'%s'; use the same team in both",
                 document->team, change->team);
      document_unref (document);
      return NULL;
    }
  document->version = change->offset + 1;
  g_free (document->edit);
  document->edit = g_strdup (change->edit);
  g_free (document->author);
  document->author = g_strdup (change->author);
  return document;
}

static enum config_verdict
accept_change (struct config_log *log, const struct config_change *change,
               const struct document *base, GError **error)
{
  struct document *document = build_document (log, change, base, error);

  if (document == NULL)
    return CONFIG_INVALID;
  put_in_force (log, document, CONFIG_SOURCE_LOG)->is_certain = TRUE;
  document_unref (document);
  return CONFIG_ACCEPTED;
}

static enum config_verdict
decide_change (struct config_log *log, const struct config_change *change,
               GError **error)
{
  const struct config_entry *entry = find_entry (log, change->team);
  const struct document *current = entry != NULL ? entry->document : NULL;
  guint64 version = current != NULL ? current->version : 0;

  if (change->offset < version)
    return CONFIG_SUPERSEDED;
  if (!change->is_forced)
    {
      if (entry != NULL ? !entry->is_certain : !log->is_certain)
        return CONFIG_UNDECIDED;
      if (change->base != version)
        return CONFIG_VOID;
    }
  return accept_change (log, change, current, error);
}

/* Moves the next offset past the record at OFFSET.  Returns FALSE when it is
   past it already.  */
static gboolean
advance_past (struct config_log *log, guint64 offset)
{
  if (offset < log->next)
    return FALSE;
  config_log_note_gap (log, offset);
  log->next = offset + 1;
  return TRUE;
}

enum config_verdict
config_log_decide (struct config_log *log, const struct config_change *change)
{
  g_autoptr (GError) error = NULL;
  const struct config_entry *entry;
  enum config_verdict verdict;

  if (!advance_past (log, change->offset))
    return CONFIG_SUPERSEDED;
  verdict = decide_change (log, change, &error);
  entry = find_entry (log, change->team);
  log->driver->ops->change_decided (log->driver, change, verdict,
                                    entry != NULL ? entry->document : NULL,
                                    error);
  return verdict;
}

void
config_log_skip (struct config_log *log, guint64 offset)
{
  advance_past (log, offset);
}

void
config_log_note_gap (struct config_log *log, guint64 first)
{
  GHashTableIter iter;
  gpointer value;

  if (first <= log->next)
    return;
  log->next = first;
  log->gap_end = first;
  log->is_certain = FALSE;
  g_hash_table_iter_init (&iter, log->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct config_entry *entry = value;

      if (entry->document->version < first)
        entry->is_certain = FALSE;
    }
}

/* Adopts DOCUMENT if it is newer than the one in force.  FILLS_GAP says that
   it was in force after the newest gap, which makes the entry certain.
   Returns whether that has made it certain.  */
static gboolean
restore_document (struct config_log *log, struct document *document,
                  gboolean fills_gap, enum config_source source)
{
  struct config_entry *entry = find_entry (log, document->team);
  gboolean was_certain = entry != NULL && entry->is_certain;

  if (entry == NULL || entry->document->version < document->version)
    {
      entry = put_in_force (log, document, source);
      entry->is_certain
          = log->is_certain || was_certain || document->version >= log->next;
    }
  if (!fills_gap || entry->is_certain)
    return FALSE;
  entry->is_certain = TRUE;
  return TRUE;
}

static void
mark_all_certain (struct config_log *log)
{
  GHashTableIter iter;
  gpointer value;

  log->is_certain = TRUE;
  log->gap_end = 0;
  g_hash_table_iter_init (&iter, log->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((struct config_entry *)value)->is_certain = TRUE;
}

gboolean
config_log_restore (struct config_log *log, const GPtrArray *documents,
                    guint64 upto, gboolean is_complete,
                    enum config_source source)
{
  gboolean fills_gap = !log->is_certain && upto >= log->gap_end;
  guint64 next = log->next;
  guint n_made_certain = 0;

  for (guint i = 0; i < documents->len; i++)
    if (restore_document (log, g_ptr_array_index (documents, i), fills_gap,
                          source))
      n_made_certain++;
  if (log->is_certain && is_complete)
    log->next = MAX (next, upto);
  else if (fills_gap && is_complete)
    {
      mark_all_certain (log);
      log->next = upto;
    }
  else if (n_made_certain > 0)
    log->next = MIN (next, upto);
  return log->next != next;
}

guint64
config_log_get_next (const struct config_log *log)
{
  return log->next;
}

gboolean
config_log_is_certain (const struct config_log *log)
{
  return log->is_certain;
}

const struct config_entry *
config_log_find (const struct config_log *log, const char *team)
{
  return find_entry (log, team);
}

GHashTable *
config_log_get_entries (const struct config_log *log)
{
  return log->entries;
}

guint64
config_log_hash_versions (const struct config_log *log)
{
  GHashTableIter iter;
  gpointer value;
  guint64 hash = 0;

  g_hash_table_iter_init (&iter, log->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct document *document
          = ((struct config_entry *)value)->document;

      hash += hash64_pair (hash64_string (document->team), document->version);
    }
  return hash;
}

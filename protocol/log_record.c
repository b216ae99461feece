#include "protocol/log_record.h"

#include "base/error.h"
#include "protocol/document_json.h"
#include "protocol/json_patch.h"
#include "protocol/json_read.h"

#include <string.h>

/* The longest texts of the documents in one part of a snapshot together, in
   bytes.  Leaves space for the rest of the record.  */
#define MAX_PART_BYTES (MAX_RECORD_BYTES * 3 / 4)
#define MAX_PARTS 4096

#define CHANGE_KIND "document"
#define SNAPSHOT_KIND "snapshot"

static gboolean
has_kind (json_t *data, const char *kind)
{
  return g_strcmp0 (json_string_value (json_object_get (data, "kind")), kind)
         == 0;
}

static void
read_change (struct json_check *check, json_t *data,
             struct config_change *change)
{
  gint64 base = 0;

  json_read_string (check, "record", data, "team", TRUE, &change->team);
  json_read_string (check, "record", data, "edit", FALSE, &change->edit);
  json_read_string (check, "record", data, "author", FALSE, &change->author);
  json_read_integer (check, "record", data, "base", TRUE, 0, G_MAXINT64,
                     &base);
  json_read_boolean (check, "record", data, "force", &change->is_forced);
  change->base = (guint64)base;
}

enum log_record_kind
log_record_read_change (json_t *data, guint64 offset,
                        struct config_change *change, GError **error)
{
  g_autofree char *source
      = g_strdup_printf ("offset %" G_GUINT64_FORMAT, offset);
  struct json_check check;

  if (!has_kind (data, CHANGE_KIND))
    return LOG_RECORD_OTHER;
  *change = (struct config_change){
    .offset = offset,
    .edit = "",
    .author = "",
    .content = data,
  };
  json_check_init (&check, source);
  read_change (&check, data, change);
  return json_check_end (&check, error) ? LOG_RECORD_CHANGE
                                        : LOG_RECORD_INVALID;
}

json_t *
log_record_document_to_json (const struct document *document)
{
  return json_loads (document->text, 0, NULL);
}

static json_t *
apply_patch (const struct document *base, const json_t *patch, GError **error)
{
  json_t *base_value
      = base != NULL ? log_record_document_to_json (base) : NULL;
  json_t *result;

  if (base_value == NULL)
    {
      error_set (error, ERROR_INVALID,
                 "there is no document to patch; publish a whole document");
      return NULL;
    }
  result = json_patch_apply (base_value, patch);
  json_decref (base_value);
  return result;
}

struct document *
log_record_build_document (const struct config_change *change,
                           const struct document *base, GError **error)
{
  const json_t *data = change->content;
  json_t *patch = json_object_get (data, "patch");
  json_t *root = json_object_get (data, "document");
  g_autofree char *source = g_strdup_printf (
      "team %s, offset %" G_GUINT64_FORMAT, change->team, change->offset);
  struct document *document;

  if (patch != NULL && (change->is_forced || root != NULL))
    {
      error_set (error, ERROR_INVALID,
                 "%s: a forced change must contain a whole 'document'; any "
                 "other change either 'document' or 'patch'",
                 source);
      return NULL;
    }
  if (patch == NULL)
    return document_from_json (root, source, error);
  root = apply_patch (base, patch, error);
  if (root == NULL)
    return NULL;
  document = document_from_json (root, source, error);
  json_decref (root);
  return document;
}

/* Adds DOCUMENT to RECORD: as a patch against BASE if that is shorter, else
   whole.  */
static void
set_content (json_t *record, json_t *document, const struct document *base)
{
  json_t *base_value = log_record_document_to_json (base);
  json_t *patch = json_patch_diff (base_value, document);
  g_autofree char *whole = json_format (document);
  g_autofree char *text = patch != NULL ? json_format (patch) : NULL;

  if (patch != NULL && strlen (text) < strlen (whole))
    json_object_set (record, "patch", patch);
  else
    json_object_set (record, "document", document);
  json_decref (base_value);
  json_decref (patch);
}

json_t *
log_record_format_change (json_t *document, const struct document *base,
                          const char *edit, const char *author,
                          gboolean is_forced)
{
  json_t *record = json_pack (
      "{s:s, s:s, s:O, s:I, s:s}", "kind", CHANGE_KIND, "edit", edit, "team",
      json_object_get (document, "team"), "base",
      (json_int_t)(base != NULL ? base->version : 0), "author", author);

  if (is_forced)
    json_object_set_new (record, "force", json_true ());
  if (is_forced || base == NULL)
    json_object_set (record, "document", document);
  else
    set_content (record, document, base);
  return record;
}

json_t *
log_record_format_document (const struct document *document)
{
  return json_pack ("{s:I, s:s, s:s, s:o}", "version",
                    (json_int_t)document->version, "edit",
                    document->edit != NULL ? document->edit : "", "author",
                    document->author != NULL ? document->author : "",
                    "document", log_record_document_to_json (document));
}

struct document *
log_record_read_document (json_t *data, const char *source, GError **error)
{
  struct document *document;
  struct json_check check;
  gint64 version = 0;
  const char *edit = "";
  const char *author = "";

  json_check_init (&check, source);
  json_read_integer (&check, "document", data, "version", TRUE, 1, G_MAXINT64,
                     &version);
  json_read_string (&check, "document", data, "edit", FALSE, &edit);
  json_read_string (&check, "document", data, "author", FALSE, &author);
  if (!json_check_end (&check, error))
    return NULL;
  document
      = document_from_json (json_object_get (data, "document"), source, error);
  if (document == NULL)
    return NULL;
  document->version = (guint64)version;
  document->edit = g_strdup (edit);
  document->author = g_strdup (author);
  return document;
}

/* Splits the documents of LOG whose entries are certain into JSON arrays of at
   most MAX_PART_BYTES.  A longer document gets an array of its own.  */
static GPtrArray *
split_documents (const struct config_log *log)
{
  GPtrArray *parts
      = g_ptr_array_new_with_free_func ((GDestroyNotify)json_decref);
  gsize part_bytes = 0;
  GHashTableIter iter;
  gpointer value;

  g_ptr_array_add (parts, json_array ());
  g_hash_table_iter_init (&iter, config_log_get_entries (log));
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct config_entry *entry = value;
      gsize length = strlen (entry->document->text);

      if (!entry->is_certain)
        continue;
      if (part_bytes > 0 && part_bytes + length > MAX_PART_BYTES)
        {
          g_ptr_array_add (parts, json_array ());
          part_bytes = 0;
        }
      part_bytes += length;
      json_array_append_new (g_ptr_array_index (parts, parts->len - 1),
                             log_record_format_document (entry->document));
    }
  return parts;
}

GPtrArray *
log_record_format_snapshot (const struct config_log *log, const char *id,
                            const char *author)
{
  GPtrArray *records = g_ptr_array_new_with_free_func (free);
  g_autoptr (GPtrArray) parts = split_documents (log);

  for (guint i = 0; i < parts->len; i++)
    {
      json_t *record = json_pack (
          "{s:s, s:s, s:s, s:I, s:b, s:i, s:i, s:O}", "kind", SNAPSHOT_KIND,
          "id", id, "author", author, "upto",
          (json_int_t)config_log_get_next (log), "whole",
          config_log_is_certain (log), "part", (int)i, "parts",
          (int)parts->len, "documents", g_ptr_array_index (parts, i));

      g_ptr_array_add (records, json_format (record));
      json_decref (record);
    }
  return records;
}

/* A snapshot of which at least one part was read.  */
struct partial_snapshot
{
  struct snapshot snapshot;
  guint n_parts;
  guint n_missing;     /* parts */
  gboolean *has_part;  /* n_parts of them */
  gboolean is_invalid; /* a document of it is invalid */
};

struct snapshot_reader
{
  GHashTable *partials;          /* id -> struct partial_snapshot */
  const struct snapshot *newest; /* of the complete ones; NULL for none */
};

static void
partial_free (gpointer data)
{
  struct partial_snapshot *partial = data;

  g_ptr_array_unref (partial->snapshot.documents);
  g_free (partial->has_part);
  g_free (partial);
}

struct snapshot_reader *
snapshot_reader_new (void)
{
  struct snapshot_reader *reader = g_new0 (struct snapshot_reader, 1);

  reader->partials
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, partial_free);
  return reader;
}

void
snapshot_reader_free (struct snapshot_reader *reader)
{
  g_hash_table_unref (reader->partials);
  g_free (reader);
}

/* The members of the record of one part, which are borrowed from it.  */
struct part_record
{
  const char *id;
  gint64 upto;
  gint64 number; /* of the part, from 0 */
  gint64 n_parts;
  gboolean is_whole;
  json_t *documents;
};

static gboolean
read_part_record (json_t *data, struct part_record *part)
{
  struct json_check check;

  if (!has_kind (data, SNAPSHOT_KIND))
    return FALSE;
  json_check_init (&check, "snapshot");
  json_read_string (&check, "", data, "id", TRUE, &part->id);
  json_read_integer (&check, "", data, "upto", TRUE, 0, G_MAXINT64,
                     &part->upto);
  json_read_integer (&check, "", data, "parts", TRUE, 1, MAX_PARTS,
                     &part->n_parts);
  json_read_integer (&check, "", data, "part", TRUE, 0, MAX_PARTS - 1,
                     &part->number);
  json_read_boolean (&check, "", data, "whole", &part->is_whole);
  json_read_array (&check, "", data, "documents", TRUE, &part->documents);
  return json_check_end (&check, NULL) && part->number < part->n_parts;
}

static struct partial_snapshot *
ensure_partial (struct snapshot_reader *reader, const struct part_record *part)
{
  struct partial_snapshot *partial
      = g_hash_table_lookup (reader->partials, part->id);

  if (partial != NULL)
    return partial;
  partial = g_new0 (struct partial_snapshot, 1);
  partial->snapshot.documents
      = g_ptr_array_new_with_free_func ((GDestroyNotify)document_unref);
  partial->snapshot.upto = (guint64)part->upto;
  partial->snapshot.is_whole = part->is_whole;
  partial->n_parts = (guint)part->n_parts;
  partial->n_missing = partial->n_parts;
  partial->has_part = g_new0 (gboolean, partial->n_parts);
  g_hash_table_insert (reader->partials, g_strdup (part->id), partial);
  return partial;
}

static void
add_documents (struct partial_snapshot *partial, json_t *documents)
{
  for (size_t i = 0; i < json_array_size (documents); i++)
    {
      struct document *document = log_record_read_document (
          json_array_get (documents, i), "snapshot", NULL);

      if (document == NULL)
        partial->is_invalid = TRUE;
      else
        g_ptr_array_add (partial->snapshot.documents, document);
    }
}

void
snapshot_reader_add (struct snapshot_reader *reader, json_t *data)
{
  struct part_record part = { .is_whole = FALSE };
  struct partial_snapshot *partial;

  if (!read_part_record (data, &part))
    return;
  partial = ensure_partial (reader, &part);
  if (partial->n_parts != part.n_parts || partial->has_part[part.number])
    return;
  partial->has_part[part.number] = TRUE;
  partial->n_missing--;
  add_documents (partial, part.documents);
  if (partial->n_missing > 0 || partial->is_invalid)
    return;
  if (reader->newest == NULL || reader->newest->upto <= partial->snapshot.upto)
    reader->newest = &partial->snapshot;
}

const struct snapshot *
snapshot_reader_get_newest (const struct snapshot_reader *reader)
{
  return reader->newest;
}

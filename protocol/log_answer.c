#include "protocol/log_answer.h"

#include "base/error.h"

#define STATUS_OK 200
#define STATUS_GONE 410

static gboolean
read_offset (json_t *root, const char *key, guint64 *value)
{
  json_t *member = json_object_get (root, key);

  if (!json_is_integer (member) || json_integer_value (member) < 0)
    return FALSE;
  *value = (guint64)json_integer_value (member);
  return TRUE;
}

gboolean
log_answer_read (guint status, json_t *root, struct log_answer *answer,
                 GError **error)
{
  json_t *records = json_object_get (root, "records");

  answer->records = status == STATUS_OK ? records : NULL;
  if (status != STATUS_OK && status != STATUS_GONE)
    error_set (error, ERROR_UNAVAILABLE,
               "the log answered a read with status %u; check the log's URL",
               status);
  else if (!read_offset (root, "first", &answer->first)
           || !read_offset (root, "next", &answer->next)
           || (status == STATUS_OK && !json_is_array (records)))
    error_set (error, ERROR_UNAVAILABLE,
               "the response is not from a log; check the log's URL");
  else
    return TRUE;
  return FALSE;
}

gboolean
log_answer_get_record (const struct log_answer *answer, gsize index,
                       struct log_answer_record *record)
{
  json_t *object = json_array_get (answer->records, index);

  record->data = json_object_get (object, "data");
  record->unix_ms = json_integer_value (json_object_get (object, "unix_ms"));
  return record->data != NULL
         && read_offset (object, "offset", &record->offset);
}

gboolean
log_answer_read_offset (guint status, json_t *root, guint64 *offset,
                        GError **error)
{
  if (status == STATUS_OK && read_offset (root, "offset", offset))
    return TRUE;
  error_set (
      error, ERROR_UNAVAILABLE,
      "the log did not confirm an append (status %u); check the log's URL",
      status);
  return FALSE;
}

#include "state/job_id.h"

#include "base/error.h"

#include <string.h>

#define JOB_ID_PREFIX "r1"
#define JOB_ID_FIELDS 5
#define HEXADECIMAL 16

char *
job_id_format (const struct job_id *id)
{
  return g_strdup_printf (
      JOB_ID_PREFIX ".%s.%" G_GINT64_MODIFIER "x.%" G_GINT64_MODIFIER
                    "x.%" G_GINT64_MODIFIER "x",
      id->vm, id->incarnation, id->sequence, (guint64)id->deadline_unix_ms);
}

gboolean
vm_name_is_valid (const char *name)
{
  size_t length = strlen (name);

  if (length == 0 || length > VM_NAME_MAX_LENGTH)
    return FALSE;
  return strspn (name, "abcdefghijklmnopqrstuvwxyz0123456789-") == length;
}

static gboolean
parse_hex (const char *field, guint64 *value)
{
  return g_ascii_string_to_unsigned (field, HEXADECIMAL, 0, G_MAXINT64, value,
                                     NULL);
}

static gboolean
parse_fields (char **fields, struct job_id *id)
{
  guint64 deadline = 0;

  if (!g_str_equal (fields[0], JOB_ID_PREFIX) || !vm_name_is_valid (fields[1]))
    return FALSE;
  if (!parse_hex (fields[2], &id->incarnation)
      || !parse_hex (fields[3], &id->sequence)
      || !parse_hex (fields[4], &deadline))
    return FALSE;
  g_strlcpy (id->vm, fields[1], sizeof id->vm);
  id->deadline_unix_ms = (gint64)deadline;
  return TRUE;
}

gboolean
job_id_parse (const char *text, struct job_id *id, const char **mac,
              GError **error)
{
  g_auto (GStrv) fields = NULL;
  gboolean valid = FALSE;
  guint n = 0;

  if (strlen (text) <= JOB_ID_MAX_LENGTH)
    {
      fields = g_strsplit (text, ".", JOB_ID_FIELDS + 1);
      n = g_strv_length (fields);
      valid = n >= JOB_ID_FIELDS && parse_fields (fields, id);
    }
  if (!valid)
    {
      error_set (error, ERROR_INVALID,
                 "this is not a job id; use one that POST /v1/tickets or "
                 "POST /v1/jobs returned");
      return FALSE;
    }
  if (mac != NULL)
    *mac = n > JOB_ID_FIELDS ? strrchr (text, '.') + 1 : NULL;
  return TRUE;
}

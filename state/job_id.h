/*
 * Job ids.  A ticket, which a caller may request before it submits a job, is a
 * job id too.
 *
 * An id names the job's home: the VM and the incarnation of its process that
 * issued the id.  Only that process may start the job's tasks.  The id also
 * has a deadline, so that every VM can recognise an expired ticket.  It is
 * written as "r1.VM.INCARNATION.SEQUENCE.DEADLINE", with the numbers in
 * hexadecimal, followed by a dot and a MAC when the deployment has a key.
 */
#ifndef STATE_JOB_ID_H
#define STATE_JOB_ID_H

#include <glib.h>

#define JOB_ID_MAX_LENGTH 160
#define VM_NAME_MAX_LENGTH 63

struct job_id
{
  char vm[VM_NAME_MAX_LENGTH + 1];
  guint64 incarnation;
  guint64 sequence;
  gint64 deadline_unix_ms; /* of the first submission under this id */
};

/* The id as text, without a MAC.  Free with g_free ().  */
char *job_id_format (const struct job_id *id);

/*
 * Parses TEXT into *ID.  MAC may be NULL; otherwise *MAC is set to the MAC
 * inside TEXT, or to NULL when TEXT has none.  The MAC is not checked.
 * Returns FALSE with ERROR_INVALID when TEXT is not a job id.
 */
gboolean job_id_parse (const char *text, struct job_id *id, const char **mac,
                       GError **error);

/* Whether NAME is a valid VM name: 1 to 63 characters of a-z, 0-9 and '-'.  */
gboolean vm_name_is_valid (const char *name);

#endif

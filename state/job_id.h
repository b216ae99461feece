/*
 * Job ids, which are also the tickets that callers draw beforehand.
 *
 * An id names its home: the VM, and the incarnation of its process, that alone
 * may start the job's tasks.  It also carries its deadline, so that any VM can
 * tell an expired ticket.  Written as "r1.VM.INCARNATION.SEQUENCE.DEADLINE",
 * numbers in hexadecimal, followed by a dot and a MAC when the deployment has
 * a key.
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
  gint64 deadline_unix_ms; /* no first submission after it */
};

/* The written form, without a MAC.  Free with g_free ().  */
char *job_id_format (const struct job_id *id);

/*
 * Parses TEXT.  On success *MAC, which may be NULL, is set to the MAC inside
 * TEXT, or to NULL when it carries none.  Returns FALSE with
 * ERROR_INVALID otherwise.
 */
gboolean job_id_parse (const char *text, struct job_id *id, const char **mac,
                       GError **error);

/* Whether NAME may name a VM: 1 to 63 of a-z, 0-9 and '-'.  */
gboolean vm_name_is_valid (const char *name);

#endif

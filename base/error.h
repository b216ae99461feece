/*
 * The error kinds of the program, carried as codes of GError.
 *
 * A kind says what a caller may conclude.  For example, ERROR_NOT_RUN
 * guarantees that no task of the request was started.  Every message names the
 * remedy.
 */
#ifndef BASE_ERROR_H
#define BASE_ERROR_H

#include <glib.h>

enum error_kind
{
  ERROR_INVALID, /* the input is malformed; correct it and send it again */
  ERROR_NOT_RUN, /* nothing was started; the same request may be sent again */
  ERROR_OVER_QUOTA,  /* nothing was started: the team is at its quota */
  ERROR_DRAINING,    /* nothing was started: this VM or service is leaving */
  ERROR_NEVER_RUNS,  /* nothing was started: no upstream has this shape */
  ERROR_TOO_LARGE,   /* nothing was started: the input is over its limit */
  ERROR_FAILED,      /* a task ran and failed */
  ERROR_UNKNOWN,     /* something may have run; its outcome is not known */
  ERROR_CANCELLED,   /* the caller cancelled the job */
  ERROR_EXPIRED,     /* the ticket or the stored answer is past its deadline */
  ERROR_NOT_FOUND,   /* no such object */
  ERROR_CONFLICT,    /* the base version is not the current one */
  ERROR_UNAVAILABLE, /* a required service does not answer */
  ERROR_DENIED,      /* the credentials are missing or wrong */
  ERROR_KIND_COUNT
};

#define RADISHCHUTE_ERROR (radishchute_error_quark ())
GQuark radishchute_error_quark (void);

/* The kind's name on the wire, as in "not-run".  Static.  */
const char *error_kind_name (enum error_kind kind);

/* The kind of that name, or -1.  */
int error_kind_from_name (const char *name);

/* The HTTP status of a response that reports this kind.  */
guint error_kind_http_status (enum error_kind kind);

/* Whether the kind guarantees that no task was started.  */
gboolean error_kind_is_not_run (enum error_kind kind);

/* Sets *ERROR, which may be NULL, to KIND with a formatted message.  */
void error_set (GError **error, enum error_kind kind, const char *format, ...)
    G_GNUC_PRINTF (3, 4);

/* The kind of ERROR.  An error of another domain counts as
   ERROR_UNAVAILABLE.  */
enum error_kind error_get_kind (const GError *error);

#endif

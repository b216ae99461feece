/*
 * The configuration in force, decided from the records of the log.
 *
 * The version of a document is the offset of its record plus one.  A change
 * takes effect when its base is the version in force at its offset and its
 * document is valid; otherwise it is void or invalid, and the document before
 * stays.  The decision depends on the records alone, so that every reader
 * comes to the same documents, whether it has read the whole log or started
 * from a snapshot or from the documents of a peer.
 *
 * When records were lost to retention, the bases of the changes behind the
 * gap cannot be checked: the documents known stay in force, and changes
 * stay undecided, until config_log_restore () brings the documents that were
 * in force behind the gap, or an operator publishes a whole document with
 * force.
 *
 * Versions only grow.  Free of I/O; the content of changes is opaque here and
 * is turned into documents by the driver.
 */
#ifndef COORDINATION_CONFIG_LOG_H
#define COORDINATION_CONFIG_LOG_H

#include "state/document.h"

#include <glib.h>

enum config_source
{
  CONFIG_SOURCE_LOG,
  CONFIG_SOURCE_SNAPSHOT,
  CONFIG_SOURCE_PEER,
  CONFIG_SOURCE_COUNT
};

enum config_verdict
{
  CONFIG_ACCEPTED,   /* in force from here on */
  CONFIG_VOID,       /* its base is not the version in force */
  CONFIG_INVALID,    /* the document has errors */
  CONFIG_UNDECIDED,  /* records before it are missing */
  CONFIG_SUPERSEDED, /* decided before, or older than what is in force */
  CONFIG_VERDICT_COUNT
};

/* One change, as published.  */
struct config_change
{
  guint64 offset;
  const char *team;
  const char *edit;   /* id that its author gave it */
  const char *author; /* who published it */
  guint64 base;       /* version that it was based on; 0 for a new team */
  gboolean is_forced; /* takes effect whatever its base */
  const void *content;
};

/* The document of one team.  */
struct config_entry
{
  struct document *document;
  enum config_source source;
  gboolean is_certain; /* no change after its version was missed */
};

struct config_log;
struct config_log_driver;

struct config_log_driver_ops
{
  /*
   * Builds the document of CHANGE from its content and BASE, the document in
   * force, which may be NULL.  Returns a new reference, or NULL with
   * ERROR_INVALID.  Must depend on its arguments alone.
   */
  struct document *(*build) (struct config_log_driver *driver,
                             const struct config_change *change,
                             const struct document *base, GError **error);

  /* DOCUMENT is in force from now on.  */
  void (*in_force) (struct config_log_driver *driver,
                    struct document *document, enum config_source source);

  /* CHANGE was decided; CURRENT is the document in force, or NULL, and ERROR
     tells the problems of an invalid one.  */
  void (*decided) (struct config_log_driver *driver,
                   const struct config_change *change,
                   enum config_verdict verdict, const struct document *current,
                   const GError *error);
};

/* The first member of every driver.  */
struct config_log_driver
{
  const struct config_log_driver_ops *ops;
};

/* The name of SOURCE, as in "snapshot".  Static.  */
const char *config_source_name (enum config_source source);

/* The name of VERDICT, as in "void".  Static.  */
const char *config_verdict_name (enum config_verdict verdict);

/* No documents, next offset 0.  DRIVER must outlive it.  */
struct config_log *config_log_new (struct config_log_driver *driver);
void config_log_free (struct config_log *log);

/* Decides the change at its offset.  */
enum config_verdict config_log_decide (struct config_log *log,
                                       const struct config_change *change);

/* Passes over the record at OFFSET, which is no change.  */
void config_log_skip (struct config_log *log, guint64 offset);

/* Tells that the records before FIRST are no longer to be had.  */
void config_log_note_gap (struct config_log *log, guint64 first);

/*
 * Takes over DOCUMENTS, an array of struct document, which were in force when
 * every record before UPTO was decided.  IS_WHOLE tells that they are those
 * of all teams and that none was uncertain.  Older versions are ignored.
 * Returns TRUE when reading has to go on at another offset, which
 * config_log_get_next () gives.
 */
gboolean config_log_restore (struct config_log *log,
                             const GPtrArray *documents, guint64 upto,
                             gboolean is_whole, enum config_source source);

/* The offset of the record to be read next.  */
guint64 config_log_get_next (const struct config_log *log);

/* Whether no records are missing before the next offset.  */
gboolean config_log_is_certain (const struct config_log *log);

/* The entry of TEAM, or NULL.  Owned by LOG.  */
const struct config_entry *config_log_find (const struct config_log *log,
                                            const char *team);

/* team -> struct config_entry.  Owned by LOG.  */
GHashTable *config_log_get_entries (const struct config_log *log);

/* A hash of the versions of all teams, the same for the same versions.  */
guint64 config_log_hash_versions (const struct config_log *log);

#endif

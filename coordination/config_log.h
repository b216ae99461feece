/*
 * Decides the configuration in force from the records of the log.
 *
 * The version of a document is the offset of its record plus one.  A change
 * takes effect when its base is the version in force at its offset and its
 * document is valid.  Otherwise it is void or invalid, and the previous
 * document stays in force.  The decision depends on the records alone.  So
 * every reader gets the same documents, whether it has read the whole log or
 * started from a snapshot or from the documents of a peer.
 *
 * When records before the next offset were dropped by retention, the bases of
 * the changes after this gap cannot be checked.  The known documents stay in
 * force and changes stay undecided.  This ends when config_log_restore ()
 * brings the documents that were in force after the gap.  For one team it also
 * ends when an operator publishes a whole document with force.
 *
 * Versions never decrease.  Does no I/O.  The content of changes is opaque
 * here, and the driver builds documents from it.
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
  CONFIG_ACCEPTED,   /* in force from its offset on */
  CONFIG_VOID,       /* not applied: its base is not the version in force */
  CONFIG_INVALID,    /* not applied: the document has errors */
  CONFIG_UNDECIDED,  /* not applied: records before it are missing */
  CONFIG_SUPERSEDED, /* decided before, or older than the document in force */
  CONFIG_VERDICT_COUNT
};

/* One change, as published.  */
struct config_change
{
  guint64 offset;
  const char *team;
  const char *edit;   /* id that the author gave it */
  const char *author; /* who published it */
  guint64 base; /* version that the change was made from; 0 for a new team */
  gboolean is_forced;  /* takes effect whatever its base is */
  const void *content; /* for the driver's build_document () */
};

/* The document in force of one team.  */
struct config_entry
{
  struct document *document;
  enum config_source source;
  gboolean is_certain; /* no record after its version is missing */
};

struct config_log;
struct config_log_driver;

struct config_log_driver_ops
{
  /*
   * Builds the document of CHANGE from its content and BASE, the document in
   * force, which may be NULL.  Returns a new reference, or NULL and sets ERROR
   * to ERROR_INVALID.  The result must depend on the arguments alone.
   */
  struct document *(*build_document) (struct config_log_driver *driver,
                                      const struct config_change *change,
                                      const struct document *base,
                                      GError **error);

  /* DOCUMENT is in force from now on.  */
  void (*document_applied) (struct config_log_driver *driver,
                            struct document *document,
                            enum config_source source);

  /* CHANGE was decided with VERDICT.  CURRENT is the document in force after
     it, or NULL.  ERROR describes the problems of an invalid document, and is
     NULL otherwise.  */
  void (*change_decided) (struct config_log_driver *driver,
                          const struct config_change *change,
                          enum config_verdict verdict,
                          const struct document *current, const GError *error);
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

/* A new log without documents, whose next offset is 0.  DRIVER must outlive
   it.  */
struct config_log *config_log_new (struct config_log_driver *driver);
void config_log_free (struct config_log *log);

/* Decides CHANGE, and moves the next offset past it.  */
enum config_verdict config_log_decide (struct config_log *log,
                                       const struct config_change *change);

/* Skips the record at OFFSET, which is not a change.  */
void config_log_skip (struct config_log *log, guint64 offset);

/* The records before FIRST can't be read any more.  Has no effect unless FIRST
   is higher than the next offset.  */
void config_log_note_gap (struct config_log *log, guint64 first);

/*
 * Adopts DOCUMENTS, an array of struct document, which were in force after
 * every record before UPTO was decided.  IS_COMPLETE says that they are those
 * of all teams and that none was uncertain.  Documents older than those in
 * force are ignored.  Returns TRUE when reading has to go on at another
 * offset, which config_log_get_next () gives.
 */
gboolean config_log_restore (struct config_log *log,
                             const GPtrArray *documents, guint64 upto,
                             gboolean is_complete, enum config_source source);

/* The offset of the record to be read next.  */
guint64 config_log_get_next (const struct config_log *log);

/* Whether no records are missing before the next offset.  */
gboolean config_log_is_certain (const struct config_log *log);

/* The entry of TEAM, or NULL.  Owned by LOG.  */
const struct config_entry *config_log_find (const struct config_log *log,
                                            const char *team);

/* All entries, team -> struct config_entry.  Owned by LOG.  */
GHashTable *config_log_get_entries (const struct config_log *log);

/* A hash of the teams and their versions, independent of their order.  */
guint64 config_log_hash_versions (const struct config_log *log);

#endif

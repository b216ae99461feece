/*
 * A stand-in for the metadata store of the operators' platform, on loopback,
 * in the main loop of the test.
 *
 * It keeps the records of keyed topics, and gives prepared answers to the
 * calls on groups.  Faults are set by the test and hold until they are taken
 * back.
 */
#ifndef T_SUPPORT_FAKE_STORE_H
#define T_SUPPORT_FAKE_STORE_H

#include <glib.h>

/* As a fault: calls get no answer.  */
#define FAKE_STORE_SILENT 1

struct fake_store;

struct fake_store *fake_store_new (void);
void fake_store_free (struct fake_store *store);

/* "IP:PORT".  */
const char *fake_store_address (const struct fake_store *store);

/* Appends a record of KEY to TOPIC; VALUE is NULL to drop the key.  */
void fake_store_put (struct fake_store *store, const char *topic,
                     const char *key, const char *value);

/* The same for a value that is not text.  */
void fake_store_put_bytes (struct fake_store *store, const char *topic,
                           const char *key, const void *bytes, gsize size);

/* Forgets the records of TOPIC but the newest of each key.  */
void fake_store_forget (struct fake_store *store, const char *topic);

/* Answers every call with that HTTP status, or not at all; 0 for none.  Calls
   that wait are not answered either way.  */
void fake_store_set_fault (struct fake_store *store, guint fault);

/* At most so many keys a list; 0 for no limit.  */
void fake_store_set_page (struct fake_store *store, guint n_keys);

/* What a POST or GET of CALL is answered, JSON with single quotes; NULL for a
   status of 404.  */
void fake_store_set_answer (struct fake_store *store, const char *call,
                            const char *answer);

/* How often CALL has come.  */
guint fake_store_count (const struct fake_store *store, const char *call);

/* Waits until CALL has come N more times.  */
void fake_store_wait (const struct fake_store *store, const char *call,
                      guint n);

/* Waits until a test has written just these WORDS to TOLD, which it empties.
 */
void fake_store_expect (GString *told, const char *words);

/* The last body or query of CALL; NULL for none.  */
const char *fake_store_last (const struct fake_store *store, const char *call);

/* How many records have been given to readers.  */
guint fake_store_count_given (const struct fake_store *store);

#endif

/*
 * Topics of the store stand-in: parts that hold records by offset, and for
 * keyed topics the newest record of each key.
 *
 * Contents only: nothing here waits, answers or fails.
 */
#ifndef T_STANDIN_STORE_TOPIC_H
#define T_STANDIN_STORE_TOPIC_H

#include <glib.h>
#include <jansson.h>

struct topic_part
{
  GPtrArray *records; /* GBytes *; the first one is at offset FIRST */
  guint64 first;
  GTree *newest; /* key -> struct newest_record; NULL unless keyed */
};

struct topic
{
  char *name;
  gboolean is_keyed;
  guint n_parts;
  struct topic_part *parts;
};

/* Lives as long as the process.  */
struct topic *topic_new (const char *name, guint n_parts);

/*
 * Splits BODY, records that each follow their length of 4 bytes.  Returns NULL
 * when it is malformed, or when a record is longer than MAX_RECORD or, in a
 * keyed topic, has no key.  The caller owns the array of GBytes *.
 */
GPtrArray *topic_split (const struct topic *topic, GBytes *body,
                        gsize max_record);

guint64 topic_part_end (const struct topic_part *part);

/* Appends all of RECORDS and returns the offset of the first.  */
guint64 topic_part_append (struct topic_part *part, GPtrArray *records);

/* Appends KEY with VALUE; without a value the key is dropped.  */
void topic_part_put (struct topic_part *part, const char *key, GBytes *value);

/* The newest value of KEY, or NULL.  The caller owns it.  */
GBytes *topic_part_get (const struct topic_part *part, const char *key);

/* Deletes the records before BEFORE; the newest of each key stay known.  */
void topic_part_trim (struct topic_part *part, guint64 before);

/* The answer to a read from FROM: the end, the first offset that is kept, and
   records of MAX_BYTES at the most, but at least one.  The caller owns it.  */
GBytes *topic_part_read (const struct topic_part *part, guint64 from,
                         gsize max_bytes);

/* The answer to a question for the newest of each key, MAX_ITEMS a page, from
   the key after AFTER on (NULL for all).  */
json_t *topic_part_list_newest (const struct topic_part *part,
                                const char *after, guint max_items);

#endif

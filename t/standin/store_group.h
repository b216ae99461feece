/*
 * Groups of the store stand-in: members share the parts of topics.
 *
 * A part has a target, to whom it is dealt, and a holder.  A new deal changes
 * targets at once; the holder changes once the old one has joined again with
 * that generation, has left or has lapsed.  A member is shown a part only
 * while it is both.  All members share all topics that any of them named.
 */
#ifndef T_STANDIN_STORE_GROUP_H
#define T_STANDIN_STORE_GROUP_H

#include <glib.h>
#include <jansson.h>

struct group_member
{
  char *name;
  gint64 lapse_us;
};

struct group_part
{
  char *topic;
  guint part;
  struct group_member *target; /* NULL while there are no members */
  struct group_member *holder; /* NULL for none */
  guint64 dealt;               /* the generation in which it got its target */
  guint64 held;                /* the generation in which it got its holder */
  guint64 offset;              /* committed */
};

struct group
{
  guint64 generation;
  GPtrArray *members; /* struct group_member * */
  GPtrArray *parts;   /* struct group_part * */
};

/* Lives as long as the process.  */
struct group *group_new (void);

/* Drops the members that have been silent for too long.  Every other function
   is to be called after it.  */
void group_advance (struct group *group, gint64 now_us);

/* Moves all lapses by PAUSE_US: the times have stood still.  */
void group_pause (struct group *group, gint64 pause_us);

/* Adds the parts of TOPIC unless they are there.  */
void group_add_topic (struct group *group, const char *topic, guint n_parts);

/* Lets NAME in, or keeps it in, until LAPSE_US; GENERATION is the last one
   that it has received.  Returns the rows of its parts.  */
json_t *group_join (struct group *group, const char *name, guint64 generation,
                    gint64 lapse_us);

/* Returns whether NAME was a member.  */
gboolean group_leave (struct group *group, const char *name);

/* Returns FALSE when NAME does not hold the part or did not in GENERATION.  */
gboolean group_commit (struct group *group, const char *name,
                       guint64 generation, const char *topic, guint part,
                       guint64 offset);

/* Rows of topic, part, member and offset of the parts that are held.  */
json_t *group_list_owners (const struct group *group);

/* Deals every part to another member.  With IS_FORCED holders change at once,
   not only when they have joined again.  */
void group_deal_anew (struct group *group, gboolean is_forced);

#endif

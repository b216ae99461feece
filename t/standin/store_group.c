#include "t/standin/store_group.h"

#include "t/standin/listener.h"

#include <string.h>

static void
free_member (gpointer data)
{
  struct group_member *member = data;

  g_free (member->name);
  g_free (member);
}

struct group *
group_new (void)
{
  struct group *group = g_new0 (struct group, 1);

  group->members = g_ptr_array_new_with_free_func (free_member);
  group->parts = g_ptr_array_new ();
  return group;
}

static struct group_member *
get_member (const struct group *group, guint i)
{
  return g_ptr_array_index (group->members, i);
}

static struct group_member *
find_member (const struct group *group, const char *name)
{
  for (guint i = 0; i < group->members->len; i++)
    if (strcmp (get_member (group, i)->name, name) == 0)
      return get_member (group, i);
  return NULL;
}

static guint
count_dealt (const struct group *group, const struct group_member *member)
{
  guint n = 0;

  for (guint i = 0; i < group->parts->len; i++)
    {
      const struct group_part *part = g_ptr_array_index (group->parts, i);

      n += part->target == member;
    }
  return n;
}

static void
set_target (struct group *group, struct group_part *part,
            struct group_member *target)
{
  part->target = target;
  part->dealt = group->generation;
}

static struct group_member *
find_poorest (const struct group *group)
{
  struct group_member *poorest = NULL;
  guint least = G_MAXUINT;

  for (guint i = 0; i < group->members->len; i++)
    {
      guint n = count_dealt (group, get_member (group, i));

      if (n < least)
        {
          least = n;
          poorest = get_member (group, i);
        }
    }
  return poorest;
}

/* Takes the parts above an even share from MEMBER; *N_EXTRA members may keep
   one part more than SHARE.  */
static void
take_surplus (struct group *group, struct group_member *member, guint share,
              guint *n_extra)
{
  guint n_kept = 0;
  guint allowed = share;

  if (*n_extra > 0 && count_dealt (group, member) > share)
    {
      allowed++;
      (*n_extra)--;
    }
  for (guint i = 0; i < group->parts->len; i++)
    {
      struct group_part *part = g_ptr_array_index (group->parts, i);

      if (part->target == member && ++n_kept > allowed)
        part->target = NULL;
    }
}

/* A change: deals the parts evenly, moving as few as it takes.  */
static void
deal (struct group *group)
{
  guint n_members = group->members->len;
  guint n_extra;

  group->generation++;
  if (n_members == 0)
    return;
  n_extra = group->parts->len % n_members;
  for (guint i = 0; i < n_members; i++)
    take_surplus (group, get_member (group, i), group->parts->len / n_members,
                  &n_extra);
  for (guint i = 0; i < group->parts->len; i++)
    {
      struct group_part *part = g_ptr_array_index (group->parts, i);

      if (part->target == NULL)
        set_target (group, part, find_poorest (group));
    }
}

static void
remove_member (struct group *group, struct group_member *member)
{
  for (guint i = 0; i < group->parts->len; i++)
    {
      struct group_part *part = g_ptr_array_index (group->parts, i);

      if (part->target == member)
        part->target = NULL;
      if (part->holder == member)
        part->holder = NULL;
    }
  g_ptr_array_remove (group->members, member);
}

void
group_advance (struct group *group, gint64 now_us)
{
  guint n_before = group->members->len;

  for (guint i = n_before; i-- > 0;)
    if (now_us >= get_member (group, i)->lapse_us)
      remove_member (group, get_member (group, i));
  if (group->members->len != n_before)
    deal (group);
}

void
group_pause (struct group *group, gint64 pause_us)
{
  for (guint i = 0; i < group->members->len; i++)
    get_member (group, i)->lapse_us += pause_us;
}

void
group_add_topic (struct group *group, const char *topic, guint n_parts)
{
  for (guint i = 0; i < group->parts->len; i++)
    {
      const struct group_part *part = g_ptr_array_index (group->parts, i);

      if (strcmp (part->topic, topic) == 0)
        return;
    }
  for (guint i = 0; i < n_parts; i++)
    {
      struct group_part *part = g_new0 (struct group_part, 1);

      part->topic = g_strdup (topic);
      part->part = i;
      g_ptr_array_add (group->parts, part);
    }
  deal (group);
}

/* MEMBER has received GENERATION: lets go of what was not in it.  */
static void
release_parts (struct group *group, const struct group_member *member,
               guint64 generation)
{
  for (guint i = 0; i < group->parts->len; i++)
    {
      struct group_part *part = g_ptr_array_index (group->parts, i);

      if (part->holder == member && part->target != member
          && generation >= part->dealt)
        part->holder = NULL;
    }
}

static json_t *
list_parts (struct group *group, struct group_member *member,
            gboolean may_gain)
{
  json_t *rows = json_array ();

  for (guint i = 0; i < group->parts->len; i++)
    {
      struct group_part *part = g_ptr_array_index (group->parts, i);

      if (part->target == member && part->holder == NULL && may_gain)
        {
          part->holder = member;
          part->held = group->generation;
        }
      if (part->target == member && part->holder == member)
        json_array_append_new (rows, json_pack ("[siI]", part->topic,
                                                (int)part->part,
                                                (json_int_t)part->offset));
    }
  return rows;
}

json_t *
group_join (struct group *group, const char *name, guint64 generation,
            gint64 lapse_us)
{
  struct group_member *member = find_member (group, name);
  gboolean is_new = member == NULL;

  if (is_new)
    {
      member = g_new0 (struct group_member, 1);
      member->name = g_strdup (name);
      g_ptr_array_add (group->members, member);
      deal (group);
    }
  member->lapse_us = lapse_us;
  release_parts (group, member, generation);
  return list_parts (group, member, !is_new);
}

gboolean
group_leave (struct group *group, const char *name)
{
  struct group_member *member = find_member (group, name);

  if (member == NULL)
    return FALSE;
  remove_member (group, member);
  deal (group);
  return TRUE;
}

gboolean
group_commit (struct group *group, const char *name, guint64 generation,
              const char *topic, guint part_number, guint64 offset)
{
  for (guint i = 0; i < group->parts->len; i++)
    {
      struct group_part *part = g_ptr_array_index (group->parts, i);

      if (strcmp (part->topic, topic) != 0 || part->part != part_number)
        continue;
      if (part->holder == NULL || strcmp (part->holder->name, name) != 0
          || generation < part->held)
        return FALSE;
      part->offset = offset;
      return TRUE;
    }
  return FALSE;
}

json_t *
group_list_owners (const struct group *group)
{
  json_t *rows = json_array ();

  for (guint i = 0; i < group->parts->len; i++)
    {
      const struct group_part *part = g_ptr_array_index (group->parts, i);

      if (part->holder != NULL)
        json_array_append_new (
            rows, json_pack ("[sisI]", part->topic, (int)part->part,
                             part->holder->name, (json_int_t)part->offset));
    }
  return rows;
}

/* The member after MEMBER, in a circle.  */
static struct group_member *
next_member (const struct group *group, const struct group_member *member)
{
  guint i;

  g_ptr_array_find (group->members, member, &i);
  return get_member (group, (i + 1) % group->members->len);
}

void
group_deal_anew (struct group *group, gboolean is_forced)
{
  group->generation++;
  for (guint i = 0; i < group->parts->len; i++)
    {
      struct group_part *part = g_ptr_array_index (group->parts, i);

      if (part->target != NULL)
        set_target (group, part, next_member (group, part->target));
      if (is_forced)
        part->holder = NULL;
    }
}

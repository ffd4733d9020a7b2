#include "core/conftree.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "kernel/mem.h"

/* Limit on the names of a path.  */
#define DEPTH_LIMIT 16

/* Splits PATH in place into at most DEPTH_LIMIT names.  Returns their number,
   or -1 if a name is empty or there are too many.  */
static int
split_path (char *path, char *names[DEPTH_LIMIT])
{
  int count = 0;
  while (path != NULL && *path != '\0')
    {
      if (count == DEPTH_LIMIT)
        return -1;
      names[count] = strsep (&path, "/");
      if (names[count++][0] == '\0' || (path != NULL && *path == '\0'))
        return -1;
    }
  return count;
}

/* Returns the object that contains the last of NAMES, or NULL.  Missing
   objects along the path are created if CREATE.  */
static json_t *
find_parent (json_t *root, char *names[], int count, bool create)
{
  json_t *node = root;
  for (int i = 0; i + 1 < count; i++)
    {
      json_t *next = json_object_get (node, names[i]);
      if (next == NULL && create && json_is_object (node))
        {
          next = json_object ();
          json_object_set_new (node, names[i], next);
        }
      node = next;
    }
  return json_is_object (node) ? node : NULL;
}

json_t *
conftree_set (const json_t *root, const char *path, json_t *value,
              struct findings *findings)
{
  char *names[DEPTH_LIMIT];
  char *copy = mem_strdup (path);
  json_t *tree = json_deep_copy (root);
  json_t *parent = NULL;
  int count = split_path (copy, names);
  if (count > 0)
    parent = find_parent (tree, names, count, true);
  if (count == 0)
    {
      json_decref (tree);
      tree = json_incref (value);
    }
  else if (parent != NULL)
    json_object_set (parent, names[count - 1], value);
  else
    {
      findings_add (findings, path, "not a path of objects");
      json_decref (tree);
      tree = NULL;
    }
  free (copy);
  return tree;
}

json_t *
conftree_delete (const json_t *root, const char *path,
                 struct findings *findings)
{
  char *names[DEPTH_LIMIT];
  char *copy = mem_strdup (path);
  json_t *tree = json_deep_copy (root);
  int count = split_path (copy, names);
  json_t *parent = count > 0 ? find_parent (tree, names, count, false) : NULL;
  if (parent == NULL || json_object_del (parent, names[count - 1]) != 0)
    {
      findings_add (findings, path, "nothing is there");
      json_decref (tree);
      tree = NULL;
    }
  free (copy);
  return tree;
}

json_t *
conftree_get (json_t *root, const char *path)
{
  char *names[DEPTH_LIMIT];
  char *copy = mem_strdup (path);
  int count = split_path (copy, names);
  json_t *found = NULL;
  if (count == 0)
    found = root;
  else if (count > 0)
    found = json_object_get (find_parent (root, names, count, false),
                             names[count - 1]);
  free (copy);
  return found;
}

static void
add_difference (json_t *list, const char *path, const json_t *from,
                const json_t *to)
{
  size_t count = json_array_size (list);
  if (count > CONFTREE_DIFFERENCES)
    return;
  json_t *item = json_object ();
  bool full = count == CONFTREE_DIFFERENCES;
  json_object_set_new (item, "path",
                       json_string (full ? "and more, not listed" : path));
  if (from != NULL && !full)
    json_object_set (item, "from", (json_t *)from);
  if (to != NULL && !full)
    json_object_set (item, "to", (json_t *)to);
  json_array_append_new (list, item);
}

static int
by_text (const void *a, const void *b)
{
  return strcmp (*(const char *const *)a, *(const char *const *)b);
}

static void
collect_names (const json_t *object, const json_t *excluded,
               const char **names, size_t *count)
{
  const char *name;
  json_t *value;
  json_object_foreach ((json_t *)object, name, value)
  {
    if (json_object_get (excluded, name) == NULL)
      names[(*count)++] = name;
  }
}

static void
compare (json_t *list, const char *path, const json_t *from, const json_t *to)
{
  if (from != NULL && to != NULL && json_equal (from, to))
    return;
  if (!json_is_object (from) || !json_is_object (to))
    {
      add_difference (list, path, from, to);
      return;
    }
  size_t count = 0;
  const char **names = mem_zalloc (
      (json_object_size (from) + json_object_size (to) + 1) * sizeof *names);
  collect_names (from, NULL, names, &count);
  collect_names (to, from, names, &count);
  if (count > 1)
    qsort (names, count, sizeof *names, by_text);
  for (size_t i = 0; i < count; i++)
    {
      char *child_path
          = mem_printf ("%s%s%s", path, *path ? "/" : "", names[i]);
      compare (list, child_path, json_object_get (from, names[i]),
               json_object_get (to, names[i]));
      free (child_path);
    }
  free (names);
}

json_t *
conftree_difference (const json_t *from, const json_t *to)
{
  json_t *list = json_array ();
  if (from != NULL || to != NULL)
    compare (list, "", from, to);
  return list;
}

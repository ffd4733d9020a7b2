#include "core/view_module.h"

#include <stdlib.h>

#include "kernel/mem.h"

struct view_module
{
  struct module base;
  struct view *view;
};

static void
view_module_free (struct module *module)
{
  struct view_module *self = (struct view_module *)module;
  view_free (self->view);
  free (self);
}

static const struct module_ops view_module_ops = { .free = view_module_free };

struct module *
view_module_new (struct view *view)
{
  struct view_module *self = mem_zalloc (sizeof *self);
  self->base.ops = &view_module_ops;
  self->base.name = "view";
  self->view = view;
  return &self->base;
}

struct view *
view_module_get (struct kernel *kernel)
{
  return ((struct view_module *)kernel_find (kernel, "view"))->view;
}

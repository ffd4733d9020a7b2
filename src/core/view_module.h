/* view_module - kernel module that gives the other modules access to the view.

   Module name: "view".  */

#ifndef SAVORYWAY_CORE_VIEW_MODULE_H
#define SAVORYWAY_CORE_VIEW_MODULE_H

#include "core/view.h"
#include "kernel/kernel.h"

/* Returns a module that owns VIEW and frees it.  */
struct module *view_module_new (struct view *view);

/* Returns the view registered with KERNEL.  */
struct view *view_module_get (struct kernel *kernel);

#endif

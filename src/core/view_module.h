/* view_module - makes the node's view known to its modules.

   Module name: "view".  */

#ifndef SAVORYWAY_CORE_VIEWMOD_H
#define SAVORYWAY_CORE_VIEWMOD_H

#include "core/view.h"
#include "kernel/kernel.h"

/* Returns a module that owns VIEW.  */
struct module *view_module_new (struct view *view);

/* Returns the view of this kernel's node.  */
struct view *view_module_get (struct kernel *kernel);

#endif

/* What cppcheck must know of the list macros; it does not read system headers. */
#define TAILQ_FOREACH(var, head, field) for ((var) = (head)->tqh_first; (var) != 0; (var) = (var)->field.tqe_next)
#define TAILQ_FOREACH_SAFE(var, head, field, tvar) for ((var) = (head)->tqh_first; (var) != 0 && ((tvar) = (var)->field.tqe_next, 1); (var) = (tvar))
#define TAILQ_FOREACH_REVERSE(var, head, headname, field) for ((var) = (*(((struct headname *)((head)->tqh_last))->tqh_last)); (var) != 0; (var) = (*(((struct headname *)((var)->field.tqe_prev))->tqh_last)))
#define LIST_FOREACH(var, head, field) for ((var) = (head)->lh_first; (var) != 0; (var) = (var)->field.le_next)
#define LIST_FOREACH_SAFE(var, head, field, tvar) for ((var) = (head)->lh_first; (var) != 0 && ((tvar) = (var)->field.le_next, 1); (var) = (tvar))
#define STAILQ_FOREACH(var, head, field) for ((var) = (head)->stqh_first; (var) != 0; (var) = (var)->field.stqe_next)
#define RB_FOREACH(x, name, head) for ((x) = name##_first(head); (x) != 0; (x) = name##_after(x))
#define RB_FOREACH_SAFE(x, name, head, y) for ((x) = name##_first(head); (x) != 0 && ((y) = name##_after(x), 1); (x) = (y))
#define RB_HEAD(name, type) struct name { struct type *rbh_root; }
#define RB_ENTRY(type) struct { struct type *rbe_left; }
#define RB_PROTOTYPE(name, type, field, cmp)
#define RB_PROTOTYPE_STATIC(name, type, field, cmp)
#define RB_GENERATE(name, type, field, cmp)
#define RB_GENERATE_STATIC(name, type, field, cmp)
#define TAILQ_HEAD(name, type) struct name { struct type *tqh_first; struct type **tqh_last; }
#define TAILQ_ENTRY(type) struct { struct type *tqe_next; struct type **tqe_prev; }
#define LIST_HEAD(name, type) struct name { struct type *lh_first; }
#define LIST_ENTRY(type) struct { struct type *le_next; }
#define STAILQ_HEAD(name, type) struct name { struct type *stqh_first; }
#define STAILQ_ENTRY(type) struct { struct type *stqe_next; }
#define json_array_foreach(array, index, value) for ((index) = 0; (index) < json_array_size(array) && ((value) = json_array_get(array, index)); (index)++)
#define json_object_foreach(object, key, value) for ((key) = json_object_iter_key(json_object_iter(object)); (key) && ((value) = json_object_get(object, key)); (key) = 0)
#define json_object_foreach_safe(object, n, key, value) for ((key) = json_object_iter_key(json_object_iter(object)), (n) = 0; (key) && ((value) = json_object_get(object, key)); (key) = 0)
#define STAILQ_HEAD(name, type) struct name { struct type *stqh_first; struct type **stqh_last; }
#define STAILQ_ENTRY(type) struct { struct type *stqe_next; }
#define STAILQ_FOREACH(var, head, field) for ((var) = (head)->stqh_first; (var) != 0; (var) = (var)->field.stqe_next)

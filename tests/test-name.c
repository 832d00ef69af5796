/*
 * Names that are longer than the place for them.
 */

#include "savory.h"

#include <string.h>

static void
test_fits(void)
{
	char name[NAME_FIT_MIN];

	name_fit(name, sizeof name, "");
	g_assert_cmpstr(name, ==, "");
	name_fit(name, sizeof name, "12345678901234567890123");
	g_assert_cmpstr(name, ==, "12345678901234567890123");
}

/* Guards against two names that are one as they are cut. */
static void
test_long(void)
{
	static const char *const names[] = { "12345678901234567890123",
		"123456789012345678901234", "123456789012345678901235",
		"1234567890123456789012345" };
	char fitted[G_N_ELEMENTS(names)][NAME_FIT_MIN], again[NAME_FIT_MIN];
	size_t i, k;

	for (i = 0; i < G_N_ELEMENTS(names); i++) {
		name_fit(fitted[i], sizeof fitted[i], names[i]);
		g_assert_true(g_str_has_prefix(fitted[i], "123456"));
		for (k = 0; k < i; k++)
			g_assert_cmpstr(fitted[i], !=, fitted[k]);
		name_fit(again, sizeof again, fitted[i]);
		g_assert_cmpstr(again, ==, fitted[i]);
	}
}

/* Guards against half a character, which no message or log may hold. */
static void
test_characters(void)
{
	char name[NAME_FIT_MIN];

	name_fit(name, sizeof name,
	    "\u00e9\u00e9\u00e9\u00e9\u00e9\u00e9\u00e9"
	    "\u00e9\u00e9\u00e9\u00e9\u00e9\u00e9");
	g_assert_true(g_utf8_validate(name, -1, NULL));
	name_fit(name, sizeof name,
	    "a\u00e9\u00e9\u00e9\u00e9\u00e9\u00e9"
	    "\u00e9\u00e9\u00e9\u00e9\u00e9\u00e9");
	g_assert_true(g_utf8_validate(name, -1, NULL));
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/name/fits", test_fits);
	g_test_add_func("/name/long", test_long);
	g_test_add_func("/name/characters", test_characters);
	return g_test_run();
}

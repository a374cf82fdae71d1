#pragma once

#include <bronzering/base/boot_clock.h>
#include <bronzering/base/errors.h>
#include <bronzering/base/hash.h>
#include <bronzering/base/ids.h>
#include <bronzering/base/incarnation.h>
#include <bronzering/base/metrics.h>
#include <bronzering/base/name_table.h>
#include <bronzering/base/overloaded.h>
#include <bronzering/base/random_source.h>
#include <bronzering/base/time.h>

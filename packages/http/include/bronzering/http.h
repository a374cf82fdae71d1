#pragma once

#include <bronzering/http/read_head.h>
#include <bronzering/http/response_fault.h>
#include <bronzering/http/response_head.h>
